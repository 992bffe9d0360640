package messenger

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/internal/wire"
)

// TestGateBoundsWhatIsUnderWay checks that what passes the gate stays within the
// budget, that what is larger than it passes alone, and that all get through.
func TestGateBoundsWhatIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGate(100)
		var mu sync.Mutex
		inside, most, passed := 0, 0, 0
		var all sync.WaitGroup
		for i := range 50 {
			n := 30 + 10*(i%3)
			if i == 20 {
				n = 500
			}
			all.Go(func() {
				g.enter(n)
				mu.Lock()
				inside += n
				if n < 100 {
					most = max(most, inside)
				} else if inside != n {
					t.Errorf("%d bytes are under way beside one of %d", inside-n, n)
				}
				mu.Unlock()
				time.Sleep(time.Millisecond)
				mu.Lock()
				inside -= n
				passed++
				mu.Unlock()
				g.leave(n)
			})
		}
		all.Wait()
		if most > 100 || passed != 50 {
			t.Errorf("%d bytes were under way at once, %d passed", most, passed)
		}
	})
}

// TestLargeAnswersArriveInTurn checks that answers that the budget does not hold
// together all arrive.
func TestLargeAnswersArriveInTurn(t *testing.T) {
	client, p := pair(t, newAlarm(), func(context.Context, *Call) (proto.Message, error) {
		return &wire.Frame{Body: make([]byte, 2*largeAnswer)}, nil
	})
	p.server.large = newGate(largeAnswer)
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			var got wire.Frame
			if err := client.Call(t.Context(), "server", testMethod, &wire.Empty{}, &got); err != nil || len(got.Body) != 2*largeAnswer {
				t.Errorf("%d bytes arrive, %v", len(got.Body), err)
			}
		})
	}
	all.Wait()
	if p.server.large.taken != 0 {
		t.Errorf("%d bytes count as under way at the end", p.server.large.taken)
	}
}
