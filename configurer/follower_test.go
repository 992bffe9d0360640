package configurer

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// publication is one call of a Follower's publish function.
type publication struct {
	Revision identifier.Revision
	Rate     float64
}

func TestFollowerAppliesRevisionsAndExpiries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var mu sync.Mutex // guards got
		var got []publication
		f := NewFollower(timer.System{}, func(revision identifier.Revision, effective *Fleet) {
			mu.Lock()
			defer mu.Unlock()
			got = append(got, publication{revision, effective.Defaults.Customers[0].RequestsPerSecond})
		})
		go f.Run(ctx)
		fleet := readFleet(t)
		fleet.Exceptions[0].Ends = time.Now().Add(time.Hour).Format(time.RFC3339)
		apply := func(revision identifier.Revision) {
			if err := f.Apply(revision, fleet.Encode()); err != nil {
				t.Error(err)
			}
		}
		apply(2)
		time.Sleep(time.Hour - 2*time.Second)
		synctest.Wait()
		mu.Lock()
		before := len(got)
		mu.Unlock()
		time.Sleep(4 * time.Second)
		synctest.Wait()
		apply(1)
		fleet.Defaults.Customers[0].RequestsPerSecond = 30
		apply(3)
		if err := f.Apply(4, []byte(`{"defaults":{}}`)); err == nil {
			t.Error("a faulty document was accepted")
		}
		cancel()
		synctest.Wait()
		want := []publication{{2, 60}, {2, 20}, {3, 30}}
		if diff := cmp.Diff(want, got); diff != "" || before != 1 {
			t.Errorf("%d published before the exception expired, want 1; published (-want +got):\n%s", before, diff)
		}
	})
}
