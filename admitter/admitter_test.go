package admitter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/timer"
)

// epoch is the start time of the test clocks.
var epoch = time.Date(2026, 3, 1, 22, 0, 0, 0, time.UTC)

// decisionRecord collects the decisions on offered requests.
type decisionRecord struct {
	grants   []*Grant
	refusals []refuser.Kind
}

// decide records one decision; it is passed to Offer.
func (d *decisionRecord) decide(g *Grant, f *refuser.Refusal) {
	if f != nil {
		d.refusals = append(d.refusals, f.Kind())
		return
	}
	d.grants = append(d.grants, g)
}

// newAdmitter returns an Admitter for service s and the given customers, and
// its clock.
func newAdmitter(concurrency, queued int, customers ...CustomerLimits) (*Admitter, *timer.Manual) {
	clock := timer.NewManual(epoch)
	a := New(Config{
		Clock: clock, Queued: queued,
		Services:  []ServiceLimits{{Service: "s", Concurrency: concurrency}},
		Customers: customers,
	})
	return a, clock
}

func TestRateLimitRefusalHasRetryAfter(t *testing.T) {
	a, clock := newAdmitter(100, 10, CustomerLimits{Customer: "choir", RequestsPerSecond: 0.4})
	var d decisionRecord
	for range 3 {
		a.Offer(Request{Customer: "choir", Service: "s"}, d.decide)
	}
	if diff := cmp.Diff([]refuser.Kind{refuser.RateLimited}, d.refusals); diff != "" {
		t.Fatalf("refusals (-want +got):\n%s", diff)
	}
	_, err := a.Admit(t.Context(), Request{Customer: "choir", Service: "s"})
	f := refuser.From(err)
	if !f.IsNotRun() || f.RetryAfter() != 2500*time.Millisecond {
		t.Errorf("refusal: IsNotRun %v, retry after %v; want true, 2.5s", f.IsNotRun(), f.RetryAfter())
	}
	clock.Advance(f.RetryAfter())
	if _, err := a.Admit(t.Context(), Request{Customer: "choir", Service: "s"}); err != nil {
		t.Errorf("after Retry-After: %v", err)
	}
}

func TestUnusedTokensAreRefunded(t *testing.T) {
	a, _ := newAdmitter(100, 10, CustomerLimits{Customer: "choir", TokensPerSecond: 20})
	g, err := a.Admit(t.Context(), Request{Customer: "choir", Service: "s", MaxTokens: 100})
	if err != nil {
		t.Fatal(err)
	}
	g.Done(Outcome{Generated: 40})
	g.Done(Outcome{Generated: 40})
	var d decisionRecord
	a.Offer(Request{Customer: "choir", Service: "s", MaxTokens: 61}, d.decide)
	a.Offer(Request{Customer: "choir", Service: "s", MaxTokens: 60}, d.decide)
	if len(d.grants) != 1 || len(d.refusals) != 1 {
		t.Errorf("granted %d and refused %d, want 1 and 1", len(d.grants), len(d.refusals))
	}
}

func TestInteractiveBeforeBatch(t *testing.T) {
	a, _ := newAdmitter(1, 10, CustomerLimits{Customer: "choir"})
	var d decisionRecord
	a.Offer(Request{Customer: "choir", Service: "s"}, d.decide)
	a.Offer(Request{Customer: "choir", Service: "s", Priority: Batch}, d.decide)
	a.Offer(Request{Customer: "choir", Service: "s"}, d.decide)
	d.grants[0].Done(Outcome{})
	if p := d.grants[1].w.req.Priority; p != Interactive {
		t.Errorf("priority %d started first, want interactive", p)
	}
}

func TestFullQueueEvictsFromLongestFlow(t *testing.T) {
	a, _ := newAdmitter(1, 4, CustomerLimits{Customer: "large"}, CustomerLimits{Customer: "small"})
	var large, small decisionRecord
	for range 6 {
		a.Offer(Request{Customer: "large", Service: "s"}, large.decide)
	}
	a.Offer(Request{Customer: "small", Service: "s"}, small.decide)
	if len(small.refusals) != 0 || len(large.refusals) != 2 {
		t.Errorf("small was refused %d times, large %d; want 0 and 2", len(small.refusals), len(large.refusals))
	}
}

func TestUnmeetableDeadlineIsRefusedImmediately(t *testing.T) {
	a, clock := newAdmitter(1, 10, CustomerLimits{Customer: "choir"})
	g, err := a.Admit(t.Context(), Request{Customer: "choir", Service: "s"})
	if err != nil {
		t.Fatal(err)
	}
	clock.Advance(10 * time.Second)
	g.Done(Outcome{})
	_, err = a.Admit(t.Context(), Request{Customer: "choir", Service: "s", Deadline: clock.Now().Add(5 * time.Second)})
	if f := refuser.From(err); f.Kind() != refuser.DeadlineTooNear || !f.IsNotRun() {
		t.Errorf("got %v, want a refusal for the deadline with IsNotRun true", err)
	}
}

func TestQueuedRequestIsRefusedAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{Services: []ServiceLimits{{Service: "s", Concurrency: 1}}, Customers: []CustomerLimits{{Customer: "choir"}}})
		r := Request{Customer: "choir", Service: "s"}
		g, err := a.Admit(t.Context(), r)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = a.Admit(ctx, r)
		if f := refuser.From(err); f.Kind() != refuser.DeadlinePassed || !f.IsNotRun() {
			t.Errorf("got %v, want a refusal for a passed deadline with IsNotRun true", err)
		}
		r.Deadline = time.Now().Add(2 * time.Second)
		if _, err = a.Admit(t.Context(), r); refuser.From(err).Kind() != refuser.DeadlineTooNear {
			t.Errorf("got %v, want a refusal for the deadline", err)
		}
		if s := a.Status("s"); s.Queued != 0 || s.InFlight != 1 {
			t.Errorf("%d queued and %d in flight, want 0 and 1", s.Queued, s.InFlight)
		}
		g.Done(Outcome{})
		if _, err := a.Admit(t.Context(), Request{Customer: "choir", Service: "s"}); err != nil {
			t.Errorf("after the slot is free: %v", err)
		}
	})
}

func TestRetryBudget(t *testing.T) {
	a, _ := newAdmitter(100, 10, CustomerLimits{Customer: "choir"})
	var d decisionRecord
	for range 10 {
		a.Offer(Request{Customer: "choir", Service: "s"}, d.decide)
	}
	allowed := 0
	for range 2 * retryReserve {
		if d.grants[0].Retry() == nil {
			allowed++
		}
	}
	for _, g := range d.grants {
		g.Done(Outcome{})
	}
	for range 2 {
		if d.grants[0].Retry() == nil {
			allowed++
		}
	}
	if allowed != retryReserve+1 {
		t.Errorf("%d retries were allowed, want the reserve of %d and 1 for 10 successes", allowed, retryReserve)
	}
}

func TestStopRefusesNewRequests(t *testing.T) {
	a, _ := newAdmitter(1, 10, CustomerLimits{Customer: "choir"})
	a.Stop()
	_, err := a.Admit(t.Context(), Request{Customer: "choir", Service: "s"})
	if f := refuser.From(err); f.Kind() != refuser.Stopping || !f.IsNotRun() {
		t.Errorf("got %v, want a refusal for the stop", err)
	}
}

func TestSharesIgnoreOldEpochs(t *testing.T) {
	a, _ := newAdmitter(100, 10, CustomerLimits{Customer: "choir", RequestsPerSecond: 2})
	a.SetShares(Shares{Epoch: 2, Shares: map[identifier.Customer]identifier.Share{"choir": 0.2}})
	a.SetShares(Shares{Epoch: 1, Shares: map[identifier.Customer]identifier.Share{"choir": 1}})
	var d decisionRecord
	for range 10 {
		a.Offer(Request{Customer: "choir", Service: "s"}, d.decide)
	}
	if len(d.grants) != 2 {
		t.Errorf("%d requests were granted, want 2: a fifth of the burst of 10", len(d.grants))
	}
}

func TestSetLimitsTakesEffect(t *testing.T) {
	a, _ := newAdmitter(1, 1, CustomerLimits{Customer: "choir"})
	var d decisionRecord
	offer := func(n int) {
		for range n {
			a.Offer(Request{Customer: "choir", Service: "s"}, d.decide)
		}
	}
	offer(3)
	if diff := cmp.Diff(1, len(d.refusals)); diff != "" {
		t.Fatalf("refused with room for 1 (-want +got):\n%s", diff)
	}
	a.SetLimits(Limits{Queued: 3, RetryShare: 1})
	offer(3)
	if diff := cmp.Diff(2, len(d.refusals)); diff != "" {
		t.Errorf("refused with room for 3 (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(int64(retryUnit), a.services["s"].retries.perSuccess); diff != "" {
		t.Errorf("units that a success adds to the retry budget (-want +got):\n%s", diff)
	}
}
