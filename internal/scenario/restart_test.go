package scenario

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
)

// TestAllKeepersRestartAfterHundredsOfChanges kills all keepers simultaneously,
// right after the last of many changes, and restarts them. They must recover
// all changes and the claim of an earlier filing from their disks alone.
func TestAllKeepersRestartAfterHundredsOfChanges(t *testing.T) {
	t.Parallel()
	const changes = 300
	p := newPartitioned(t, keeperCount)
	p.file("filing-1")
	for i := range changes {
		p.mustChange(0, identifier.ChangeID(fmt.Sprint("change-", i)), identifier.Revision(1+i))
	}
	for i := range keeperCount {
		p.kill(string(hostName(i)))
	}
	for i := range keeperCount {
		p.startHost(i)
	}
	for i := range keeperCount {
		p.awaitApplied(i, 1+changes)
	}
	newest := p.history(1).Records[0]
	if diff := cmp.Diff(identifier.Revision(1+changes), newest.Revision); diff != "" {
		t.Errorf("the newest accepted change (-want +got):\n%s", diff)
	}
	p.awaitClaimGroup()
	p.file("filing-1")
	if diff := cmp.Diff(1, p.executions("filing-1")); diff != "" {
		t.Errorf("executions of a filing sent before and after the restart (-want +got):\n%s", diff)
	}
}
