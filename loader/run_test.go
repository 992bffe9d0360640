package loader

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/refuser"
)

// serve starts a server that streams events, truncates every third answer and
// refuses every fifth request.
func serve(t *testing.T) string {
	t.Helper()
	calls := make(chan int, 1)
	calls <- 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := <-calls + 1
		calls <- n
		if n%5 == 0 {
			b, _ := refuser.NotRun(refuser.Overloaded, "full", "wait").MarshalJSON()
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write(b)
			return
		}
		fmt.Fprint(w, "data: a\n\ndata: b\n\n")
		if n%3 != 0 {
			fmt.Fprint(w, "data: [DONE]\n\n")
		}
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func TestReportCountsEveryRequestOnce(t *testing.T) {
	for _, rate := range []float64{0, 2000} {
		r, err := Run(t.Context(), Plan{
			Targets: []string{serve(t)}, Stream: true, Rate: rate, Concurrency: 4, Duration: 50 * time.Millisecond,
		})
		if err != nil {
			t.Fatal(err)
		}
		sum := r.Answered
		for _, n := range r.Failures {
			sum += n
		}
		if diff := cmp.Diff(r.Started, sum); diff != "" {
			t.Errorf("rate %v: counts of started requests and of results differ (-started +results):\n%s", rate, diff)
		}
		if r.Started > 10 && (r.Failures["overloaded"] == 0 || r.Failures["streamTruncated"] == 0) {
			t.Errorf("rate %v: failures %v lack overloaded or streamTruncated", rate, r.Failures)
		}
	}
}

func TestPlanIsChecked(t *testing.T) {
	ok := Plan{Targets: []string{"http://127.0.0.1:1"}, Duration: time.Second}
	for name, change := range map[string]func(*Plan){
		"no target":            func(p *Plan) { p.Targets = nil },
		"bad target":           func(p *Plan) { p.Targets = []string{"127.0.0.1"} },
		"no duration":          func(p *Plan) { p.Duration = 0 },
		"too long":             func(p *Plan) { p.Duration = 2 * MaxDuration },
		"negative rate":        func(p *Plan) { p.Rate = -1 },
		"concurrency too high": func(p *Plan) { p.Concurrency = MaxConcurrency + 1 },
	} {
		p := ok
		change(&p)
		if _, err := p.withDefaults(); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
