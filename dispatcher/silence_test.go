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

// verdicts is a chooser that keeps what it is told of each server.
type verdicts struct {
	dispatcher.Chooser
	blamed map[identifier.BackendServer]int
}

func (v *verdicts) Choose(q dispatcher.Query) (dispatcher.Pick, bool) {
	p, ok := v.Chooser.Choose(q)
	return &verdictPick{p, v}, ok
}

type verdictPick struct {
	dispatcher.Pick
	v *verdicts
}

func (p *verdictPick) Finished(o dispatcher.Outcome) {
	if o != dispatcher.Succeeded && o != dispatcher.Neutral {
		p.v.blamed[p.Server().Name]++
	}
	p.Pick.Finished(o)
}

// TestSilentConnection checks that a pooled connection that lost its other end
// is left for a fresh one to the same server, which is not blamed.
func TestSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPath(t)
		defer p.close()
		p.stops["p1"]()
		v := &verdicts{Chooser: dispatcher.NewRouted(router.New(router.Config{FailureDomain: "a"})), blamed: make(map[identifier.BackendServer]int)}
		p.d = dispatcher.New(dispatcher.Options{Tables: &p.tables, Pool: p.pool, Metrics: p.metrics, Chooser: v})
		tag := func() *dispatcher.Request {
			return p.request("plain", dispatcher.Call{}, http.MethodPost, "/tags", "{}")
		}
		if _, refusal := p.do(tag()); refusal != nil {
			t.Fatal(refusal)
		}
		v.blamed = make(map[identifier.BackendServer]int)
		if p.net.Silence("p0") == 0 {
			t.Fatal("no connection to silence")
		}
		r := tag()
		if _, refusal := p.do(r); refusal != nil {
			t.Fatal(refusal)
		}
		if p.net.Lost("p0") == 0 {
			t.Error("nothing was sent on the silent connection")
		}
		if left := time.Until(r.Deadline); left < 10*time.Second {
			t.Errorf("the silent connection held the request until %v before its deadline", left)
		}
		if v.blamed["p0"] != 0 {
			t.Error("the server was blamed for the connection")
		}
		if p.counter(`cyclamen_answers_dropped_total{reason="silent"}`) != 1 {
			t.Error("the silence was not counted")
		}
	})
}

// TestOldConnectionIsDiscarded checks that a connection is not used again long
// after its last byte.
func TestOldConnectionIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPath(t)
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
