package scenario

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// raceRounds is how often two operators race each other.
const raceRounds = 20

// TestLeaderCutOneWay cuts what travels from or to the domain of the leader.
func TestLeaderCutOneWay(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name            string
		leaving, coming bool
	}{
		{"hears nothing", false, true},
		{"is not heard", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newPartitioned(t, keeperCount)
			old := p.awaitLeader(0, 1, 2)
			p.setCut(domains[old], c.leaving, c.coming)
			accepted := p.raceAcross(old)
			p.checkCutOneWay(domains[old], c.leaving)
			p.setCut(domains[old], false, false)
			p.checkOneHistory(3)
			p.checkStand(accepted)
		})
	}
}

// awaitLeader waits until one of some hosts leads and returns it.
func (p *partitioned) awaitLeader(of ...int) int {
	p.t.Helper()
	leader := -1
	p.await("a leader", func() bool {
		leader = p.leader(of...)
		return leader >= 0
	})
	return leader
}

// others returns the keepers besides one.
func others(i int) []int {
	return slices.DeleteFunc([]int{0, 1, 2}, func(k int) bool { return k == i })
}

// raceAcross sends changes against one revision at both sides of a cut until
// the side of the majority stands two revisions further. It returns the
// accepted changes.
func (p *partitioned) raceAcross(old int) []administrator.Changed {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(p.t.Context(), awaitLimit)
	defer cancel()
	far := make(chan result, 1)
	go func() {
		c, err := p.change(ctx, p.operators(old), "far", 1)
		far <- result{c, err}
	}()
	var near result
	majority := others(old)
	p.await("the majority stands at revision 2", func() bool {
		near.changed, near.err = p.change(ctx, p.operators(majority[0]), "near", 1)
		var f *refuser.Refusal
		return near.err == nil || errors.As(near.err, &f) && f.Kind() == refuser.Conflict
	})
	p.awaitLeader(majority...)
	p.await("the old leader leads no more", func() bool { return p.leader(old) < 0 })
	p.mustChange(majority[1], "next", 2)
	accepted := []administrator.Changed{{ChangeID: "next", Revision: 3}}
	for _, r := range []result{near, <-far} {
		if r.err == nil {
			accepted = append(accepted, r.changed)
		}
	}
	return accepted
}

// checkStand checks that every accepted change is in the history under the
// revision that its operator was told.
func (p *partitioned) checkStand(accepted []administrator.Changed) {
	p.t.Helper()
	stands := make(map[identifier.ChangeID]identifier.Revision)
	for _, r := range p.history(0).Records {
		stands[r.ChangeID] = r.Revision
	}
	for _, c := range accepted {
		if stands[c.ChangeID] != c.Revision {
			p.t.Errorf("%s was accepted as revision %d, history has %d", c.ChangeID, c.Revision, stands[c.ChangeID])
		}
	}
}

// checkCutOneWay checks that bytes were lost on one way only.
func (p *partitioned) checkCutOneWay(domain byte, wantLeaving bool) {
	p.t.Helper()
	leaving, coming := p.lost(domain)
	if (leaving > 0) != wantLeaving || (coming > 0) == wantLeaving {
		p.t.Errorf("%d bytes from the domain and %d to it were lost", leaving, coming)
	}
}

// checkOneHistory checks that all keepers reach a revision and have the same
// history, with one change for each revision.
func (p *partitioned) checkOneHistory(want identifier.Revision) {
	p.t.Helper()
	for _, i := range []int{0, 1, 2} {
		p.awaitInForce(i, want)
	}
	first := p.history(0)
	for _, i := range []int{1, 2} {
		if diff := gocmp.Diff(first, p.history(i)); diff != "" {
			p.t.Errorf("the histories at h0 and h%d differ (-h0 +h%d):\n%s", i, i, diff)
		}
	}
	var got, all []identifier.Revision
	for _, r := range first.Records {
		got = append(got, r.Revision)
	}
	for r := want; r > 0; r-- {
		all = append(all, r)
	}
	if diff := gocmp.Diff(all, got); diff != "" {
		p.t.Errorf("the revisions differ (-want +got):\n%s", diff)
	}
}

// result is what became of one operator's change.
type result struct {
	changed administrator.Changed
	err     error
}

// TestOperatorsRace has two operators change one revision through different
// hosts, round after round.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	p := newPartitioned(t, keeperCount)
	for round := range raceRounds {
		base := identifier.Revision(round + 1)
		var results [2]result
		var wg sync.WaitGroup
		for k := range results {
			wg.Go(func() {
				id := identifier.ChangeID(fmt.Sprintf("round-%d-%d", round, k))
				results[k].changed, results[k].err = p.change(t.Context(), p.operators(k+round%2), id, base)
			})
		}
		wg.Wait()
		p.checkRace(base, results[:])
	}
	p.checkOneHistory(raceRounds + 1)
}

// checkRace checks that one of two changes won and the other was told the
// present revision.
func (p *partitioned) checkRace(base identifier.Revision, results []result) {
	p.t.Helper()
	slices.SortFunc(results, func(a, b result) int { return cmp.Compare(b.changed.Revision, a.changed.Revision) })
	won, lost := results[0], results[1]
	if won.err != nil || won.changed.Revision != base+1 {
		p.t.Fatalf("base %d: want one winner, got %v, %v", base, won.err, lost.err)
	}
	f := p.refusalIn(lost.err)
	if f.Kind() != refuser.Conflict || !f.IsNotRun() || !strings.Contains(f.Error(), fmt.Sprint("revision ", base+1)) {
		p.t.Errorf("base %d: the loser was told %s: %v", base, f.Kind(), f)
	}
}

// TestChangeResentAfterLostAnswer loses the answer to a change and sends it
// again under its id through another host.
func TestChangeResentAfterLostAnswer(t *testing.T) {
	t.Parallel()
	p := newPartitioned(t, keeperCount)
	answers := new(way)
	k := newLink(t, p.settings[0].Operators.Listen, new(way), answers)
	answers.cut.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := p.change(ctx, "http://"+k.address(), "resent", 1)
		ended <- err
	}()
	for _, i := range []int{0, 1, 2} {
		p.awaitInForce(i, 2)
	}
	p.await("the answer is lost", func() bool { return answers.lost.Load() > 0 })
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Fatalf("the operator got %v", err)
	}
	want := administrator.Changed{ChangeID: "resent", Revision: 2, Resent: true}
	for _, i := range []int{1, 0, 2} {
		got, err := p.change(t.Context(), p.operators(i), "resent", 1)
		if diff := gocmp.Diff(want, got); diff != "" || err != nil {
			t.Errorf("h%d: error %v, answer differs (-want +got):\n%s", i, err, diff)
		}
	}
	p.checkOneHistory(2)
}
