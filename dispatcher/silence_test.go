package dispatcher_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/internal/faker"
)

// TestStreamThatCannotBeResumedWaitsForItsServer guards against a stream that breaks off
// since its sound server was silent for a second, though nothing can take its place.
func TestStreamThatCannotBeResumedWaitsForItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture(t)
		defer p.close()
		for _, name := range []string{"e0", "e1"} {
			p.stops[name]()
			p.stops[name] = p.net.Serve(name, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				for i := range 2 {
					fmt.Fprintf(w, "data: {\"choices\":[{\"delta\":{\"tool_calls\":[%d]}}]}\n\n", i)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(time.Second)
				}
				fmt.Fprint(w, "data: [DONE]\n\n")
			}))
		}
		a, refusal := p.do(p.stream("scene", 2))
		if _, done := a.text(t); refusal != nil || !done {
			t.Errorf("refusal %v, done %v", refusal, done)
		}
		time.Sleep(5 * time.Second) // The servers end.
	})
}

// TestSilentServerIsAwaitedWithoutRetries guards against a call that ends without its
// answer since its sound server was silent while the retry budget was spent.
func TestSilentServerIsAwaitedWithoutRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture(t)
		defer p.close()
		for _, s := range p.plains {
			s.Inject(faker.Fault{Kind: faker.Errors, Share: 1})
		}
		for p.counter("cyclamen_retries_withheld_total") == 0 {
			_, _ = p.do(p.request("plain", dispatcher.Call{}, http.MethodGet, "/tags", ""))
		}
		for _, s := range p.plains {
			s.Clear()
			s.Inject(faker.Fault{Kind: faker.Late, Delay: 12 * time.Second})
		}
		p.pool.Close()
		a, refusal := p.do(p.request("plain", dispatcher.Call{}, http.MethodGet, "/tags", ""))
		if refusal != nil || a.head.Status != http.StatusOK {
			t.Errorf("refusal %v, status %d", refusal, a.head.Status)
		}
	})
}
