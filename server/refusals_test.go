package server_test

import (
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/refuser"
)

// TestRefusalsPage checks that docs/REFUSALS.md lists every kind of refusal
// with its status, a meaning and a remedy.
func TestRefusalsPage(t *testing.T) {
	source, err := os.ReadFile("../refuser/refusal.go")
	if err != nil {
		t.Fatal(err)
	}
	var want []string
	for _, m := range regexp.MustCompile(`Kind = "(\w+)"`).FindAllStringSubmatch(string(source), -1) {
		status := refuser.NotRun(refuser.Kind(m[1]), "", "").Status()
		want = append(want, m[1]+" "+strconv.Itoa(status))
	}
	page, err := os.ReadFile("../docs/REFUSALS.md")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(line, "|")
		if len(cells) != 6 || !strings.HasPrefix(strings.TrimSpace(cells[1]), "`") {
			continue
		}
		got = append(got, strings.Trim(strings.TrimSpace(cells[1]), "`")+" "+strings.TrimSpace(cells[2]))
		if strings.TrimSpace(cells[3]) == "" || strings.TrimSpace(cells[4]) == "" {
			t.Errorf("no meaning or remedy in %q", line)
		}
	}
	slices.Sort(want)
	slices.Sort(got)
	if diff := cmp.Diff(want, got); diff != "" || len(want) == 0 {
		t.Errorf("kinds on the page differ (-want +got):\n%s", diff)
	}
}
