package dispatcher_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/router"
)

// outcomeRecorder is a Chooser that counts the failed attempts of each server.
type outcomeRecorder struct {
	dispatcher.Chooser
	failures map[identifier.BackendServer]int
}

func (r *outcomeRecorder) Choose(q dispatcher.Query) (dispatcher.Pick, bool) {
	p, ok := r.Chooser.Choose(q)
	return &recordedPick{p, r}, ok
}

type recordedPick struct {
	dispatcher.Pick
	recorder *outcomeRecorder
}

func (p *recordedPick) Finished(o dispatcher.Outcome) {
	if o != dispatcher.Succeeded && o != dispatcher.Neutral {
		p.recorder.failures[p.Server().Name]++
	}
	p.Pick.Finished(o)
}

// TestUnresponsiveConnectionIsReplaced checks that a pooled connection whose
// peer no longer answers is replaced by a fresh one to the same server, and
// that this does not count as a failure of the server.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture(t)
		defer p.close()
		p.stops["p1"]()
		recorder := &outcomeRecorder{Chooser: dispatcher.NewRouterChooser(router.New(router.Config{FailureDomain: "a"})), failures: make(map[identifier.BackendServer]int)}
		p.d = dispatcher.New(dispatcher.Options{Tables: &p.tables, Pool: p.pool, Metrics: p.metrics, Chooser: recorder})
		tag := func() *dispatcher.Request {
			return p.request("plain", dispatcher.Call{}, http.MethodPost, "/tags", "{}")
		}
		if _, refusal := p.do(tag()); refusal != nil {
			t.Fatal(refusal)
		}
		recorder.failures = make(map[identifier.BackendServer]int)
		if p.net.Silence("p0") == 0 {
			t.Fatal("no pooled connection to break")
		}
		r := tag()
		if _, refusal := p.do(r); refusal != nil {
			t.Fatal(refusal)
		}
		if p.net.LostBytes("p0") == 0 {
			t.Error("nothing was sent on the stale connection")
		}
		if left := time.Until(r.Deadline); left < 10*time.Second {
			t.Errorf("the stale connection delayed the request until %v before its deadline", left)
		}
		if recorder.failures["p0"] != 0 {
			t.Error("the stale connection counted as a failure of the server")
		}
		if p.counter(`cyclamen_answers_dropped_total{reason="silent"}`) != 1 {
			t.Error("the stale connection was not counted")
		}
	})
}

// TestOldConnectionIsDiscarded checks that a connection is not reused long
// after its last byte.
func TestOldConnectionIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture(t)
		defer p.close()
		for range 2 {
			if _, refusal := p.do(p.request("plain", dispatcher.Call{}, http.MethodGet, "/tags", "")); refusal != nil {
				t.Fatal(refusal)
			}
			time.Sleep(time.Minute)
		}
		if n := p.counter(`cyclamen_connections_discarded_total{reason="age"}`); n != 1 {
			t.Errorf("%d connections were discarded by age, want 1", n)
		}
	})
}
