package dispatcher_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/faker"
	"cyclamenhub.org/refuser"
)

// TestFilingIsNotResentBelowLedger checks that no layer below the ledger sends
// a request a second time. The server runs the filing on a connection that
// earlier requests left idle, and closes it without an answer.
func TestFilingIsNotResentBelowLedger(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFixture(t)
				defer p.close()
				for range 2 {
					if _, refusal := p.do(p.request("plain", dispatcher.Call{}, http.MethodGet, "/warm", "")); refusal != nil {
						t.Fatal(refusal)
					}
				}
				before := p.executions()
				for _, s := range p.plains {
					s.Inject(faker.Fault{Kind: faker.DropAnswer, Count: 1})
				}
				r := p.request("plain", dispatcher.Call{NonIdempotent: true}, method, "/filings", "")
				r.Key = "k1"
				_, refusal := p.do(r)
				if refusal == nil || refusal.Kind() != refuser.Unknown || refusal.IsNotRun() {
					t.Errorf("got refusal %v", refusal)
				}
				if n := p.executions() - before; n != 1 {
					t.Errorf("ran %d times, want 1", n)
				}
			})
		})
	}
}

// TestUnsentFilingIsRetriedOnAnotherServer checks that a filing is sent to
// another server if the first one refuses the connection before any byte is
// sent.
func TestUnsentFilingIsRetriedOnAnotherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture(t)
		defer p.close()
		p.stops["p0"]()
		if _, refusal := p.do(p.filing("{}")); refusal != nil {
			t.Fatal(refusal)
		}
		if p.executions() != 1 || p.counter("cyclamen_attempts_unsent_total") == 0 {
			t.Errorf("%d executions, %d unsent attempts", p.executions(), p.counter("cyclamen_attempts_unsent_total"))
		}
	})
}

// TestFilingsRunAtMostOnce sends filings under generated faults and compares
// each final answer with the number of executions.
func TestFilingsRunAtMostOnce(t *testing.T) {
	kinds := []faker.FaultKind{faker.DropAnswer, faker.Truncate, faker.Crossed, faker.Late, faker.Errors}
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom(kinds), 0, 4).Draw(rt, "faults")
		down := rapid.SampledFrom([]string{"", "p0", "p1", "both"}).Draw(rt, "down")
		key := rapid.SampledFrom([]string{"", "k"}).Draw(rt, "key")
		resent := rapid.IntRange(1, 3).Draw(rt, "resent")
		synctest.Test(t, func(t *testing.T) {
			p := newFixture(t)
			defer p.close()
			for i, k := range faults {
				p.plains[i%2].Inject(faker.Fault{Kind: k, Count: 1, Delay: 30 * time.Second, Share: 1})
			}
			for _, name := range []string{"p0", "p1"} {
				if down == name || down == "both" {
					p.stops[name]()
				}
			}
			p.repeatFiling(rt, identifier.IdempotencyKey(key), resent)
		})
	})
}

// repeatFiling sends one filing several times with the same key, or once if
// there is no key.
func (p *fixture) repeatFiling(rt *rapid.T, key identifier.IdempotencyKey, times int) {
	if key == "" {
		times = 1
	}
	for range times {
		r := p.filing(`{"grant":7}`)
		r.Key = key
		before := p.executions()
		a, refusal := p.do(r)
		after := p.executions()
		if after > 1 {
			rt.Fatalf("ran %d times", after)
		}
		if refusal != nil && refusal.IsNotRun() && after != before {
			rt.Fatalf("refused as not run, but it ran: %v", refusal)
		}
		if (refusal == nil) != (a.begins == 1) {
			rt.Fatalf("got refusal %v and %d answers", refusal, a.begins)
		}
		if refusal == nil && a.head.Status == http.StatusOK && after != 1 {
			rt.Fatalf("answered, but it ran %d times", after)
		}
	}
}

// TestRetriesDoNotMultiplyAnOverload checks that retries stay within their
// share of the requests when every server fails, and that the caller gets the
// last error answer.
func TestRetriesDoNotMultiplyAnOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newFixture(t)
		defer p.close()
		for _, s := range p.plains {
			s.Inject(faker.Fault{Kind: faker.Errors, Share: 1})
		}
		const requests = 200
		for range requests {
			a, refusal := p.do(p.request("plain", dispatcher.Call{}, http.MethodGet, "/tags", ""))
			if refusal != nil || a.head.Status != http.StatusInternalServerError {
				t.Fatalf("refusal %v, status %d", refusal, a.head.Status)
			}
		}
		if n := p.counter("cyclamen_retries_total"); n > requests/4 {
			t.Errorf("%d retries of %d requests", n, requests)
		}
		if p.counter("cyclamen_retries_withheld_total") == 0 {
			t.Error("no retry was withheld")
		}
	})
}
