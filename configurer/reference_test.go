package configurer

import (
	"testing"

	"cyclamenhub.org/internal/documenter"
	"cyclamenhub.org/internal/golden"
)

// referenceIntro is the introduction of docs/SETTINGS.md.
const referenceIntro = `# Settings reference

This page is generated from the types in package configurer: after a change run
` + "`go test ./configurer -run TestSettingsPageIsCurrent -update`" + `.

Both documents are JSON. Unknown and repeated fields are faults, and every fault
is reported at once with its path and a remedy. A Duration is a string with a
unit, as in "750ms" or "24h". Names have 1 to 64 letters, digits, '-', '_' or
'.'. A KeyHash is what ` + "`cyclamenctl key hash`" + ` prints.

`

func TestSettingsPageIsCurrent(t *testing.T) {
	types, err := documenter.Parse(".")
	if err != nil {
		t.Fatal(err)
	}
	page := referenceIntro +
		"## Settings of one process\n\nRead at start from the file that the command line names.\n\n" + types.Tables("Settings") +
		"## The fleet document\n\nShared by all hosts, and changed with `cyclamenctl config set` and `cyclamenctl exceptions`.\n\n" + types.Tables("Fleet")
	golden.Compare(t, "../docs/SETTINGS.md", page)
}
