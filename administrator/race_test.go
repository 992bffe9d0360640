package administrator

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// TestOneOfManyConcurrentChangesIsAccepted sends 16 changes against the same
// base concurrently, each of them twice, and checks that one change is
// accepted, with a success response to both of its requests.
func TestOneOfManyConcurrentChangesIsAccepted(t *testing.T) {
	b, h := withFleet(t)
	const operators = 16
	var mu sync.Mutex // guards accepted
	accepted := map[identifier.ChangeID]int{}
	var wg sync.WaitGroup
	for n := range 2 * operators {
		id := identifier.ChangeID(fmt.Sprintf("race-%d", n%operators))
		wg.Go(func() {
			var got ChangeResult
			f := send(t, h, http.MethodPut, "/config", ConfigurationChange{ChangeID: id, Base: 1, Document: fleetDocument(t)}, &got)
			switch {
			case f == nil:
				mu.Lock()
				accepted[id]++
				mu.Unlock()
			case f.Kind() != refuser.Conflict:
				t.Errorf("%s: %v, want a conflict", id, f)
			}
		})
	}
	wg.Wait()
	if len(accepted) != 1 || viewOf(t, b).Revision != 2 {
		t.Errorf("accepted changes %v and revision %d, want one change and revision 2", accepted, viewOf(t, b).Revision)
	}
	for id, responses := range accepted {
		if responses != 2 {
			t.Errorf("%s got %d success responses, want 2", id, responses)
		}
	}
}
