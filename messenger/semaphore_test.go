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

// TestByteSemaphoreBoundsInFlightBytes checks that the acquired bytes stay within the
// budget, that a request above the budget is admitted alone, and that all requests
// are admitted.
func TestByteSemaphoreBoundsInFlightBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newByteSemaphore(100)
		var mu sync.Mutex
		inFlight, peak, admitted := 0, 0, 0
		var wg sync.WaitGroup
		for i := range 50 {
			n := 30 + 10*(i%3)
			if i == 20 {
				n = 500
			}
			wg.Go(func() {
				s.acquire(n)
				mu.Lock()
				inFlight += n
				if n < 100 {
					peak = max(peak, inFlight)
				} else if inFlight != n {
					t.Errorf("%d bytes in flight besides a request of %d bytes", inFlight-n, n)
				}
				mu.Unlock()
				time.Sleep(time.Millisecond)
				mu.Lock()
				inFlight -= n
				admitted++
				mu.Unlock()
				s.release(n)
			})
		}
		wg.Wait()
		if peak > 100 || admitted != 50 {
			t.Errorf("peak of %d bytes in flight, want at most 100; %d requests admitted, want 50", peak, admitted)
		}
	})
}

// TestLargeResponsesBeyondBudgetAllArrive checks that all responses arrive when
// together they exceed the budget.
func TestLargeResponsesBeyondBudgetAllArrive(t *testing.T) {
	client, p := newPair(t, newManualTimer(), func(context.Context, *Call) (proto.Message, error) {
		return &wire.Frame{Body: make([]byte, 2*largeResponseBytes)}, nil
	})
	p.server.largeResponses = newByteSemaphore(largeResponseBytes)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			var got wire.Frame
			if err := client.Call(t.Context(), "server", testMethod, &wire.Empty{}, &got); err != nil || len(got.Body) != 2*largeResponseBytes {
				t.Errorf("received %d bytes, error %v", len(got.Body), err)
			}
		})
	}
	wg.Wait()
	// The server releases the bytes of a response after it has written it, so the
	// client may have all responses before that.
	released := make(chan struct{})
	go func() {
		defer close(released)
		p.server.largeResponses.acquire(largeResponseBytes)
	}()
	select {
	case <-released:
	case <-time.After(time.Minute):
		t.Error("the bytes of some response are never released")
	}
}
