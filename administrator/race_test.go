package administrator

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// TestOneOfManyRacingOperatorsWins sends changes against one base at once, each
// of them twice.
func TestOneOfManyRacingOperatorsWins(t *testing.T) {
	b, h := withFleet(t)
	const operators = 16
	var mu sync.Mutex // guards won
	won := map[identifier.ChangeID]int{}
	var wg sync.WaitGroup
	for n := range 2 * operators {
		id := identifier.ChangeID(fmt.Sprintf("race-%d", n%operators))
		wg.Go(func() {
			var got Changed
			f := send(t, h, http.MethodPut, "/config", Change{ChangeID: id, Base: 1, Document: fleetDocument(t)}, &got)
			switch {
			case f == nil:
				mu.Lock()
				won[id]++
				mu.Unlock()
			case f.Kind() != refuser.Conflict:
				t.Errorf("%s: %v, want a conflict", id, f)
			}
		})
	}
	wg.Wait()
	if len(won) != 1 || viewOf(t, b).Revision != 2 {
		t.Errorf("%v won and the revision is %d, want one winner and revision 2", won, viewOf(t, b).Revision)
	}
	for id, answers := range won {
		if answers != 2 {
			t.Errorf("%s heard of its success %d times, want 2", id, answers)
		}
	}
}
