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

// raceRounds is the number of times that two operators send conflicting changes.
const raceRounds = 20

// TestLeaderCutOneWay cuts the traffic from or to the failure domain of the
// leader, in one direction only. Another keeper must take over, no accepted
// change may be lost, and all keepers must end with the same history.
func TestLeaderCutOneWay(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name              string
		outbound, inbound bool
	}{
		{"inbound cut", false, true},
		{"outbound cut", true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := newPartitioned(t, keeperCount)
			old := p.awaitLeader(0, 1, 2)
			p.setCut(hostDomains[old], c.outbound, c.inbound)
			accepted := p.changeAcrossCut(old)
			p.checkCutOneWay(hostDomains[old], c.outbound)
			p.setCut(hostDomains[old], false, false)
			p.checkOneHistory(3)
			p.checkAccepted(accepted)
		})
	}
}

// awaitLeader waits until one of the candidates leads and returns it.
func (p *partitionedSite) awaitLeader(candidates ...int) int {
	p.t.Helper()
	leader := -1
	p.await("a leader", func() bool {
		leader = p.leader(candidates...)
		return leader >= 0
	})
	return leader
}

// otherKeepers returns the keepers except i.
func otherKeepers(i int) []int {
	return slices.DeleteFunc([]int{0, 1, 2}, func(k int) bool { return k == i })
}

// changeAcrossCut sends changes with the same base revision on both sides of a
// cut until the majority has accepted two revisions. old is the isolated
// leader. It returns the accepted changes.
func (p *partitionedSite) changeAcrossCut(old int) []administrator.ChangeResult {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(p.t.Context(), awaitTimeout)
	defer cancel()
	minorityResult := make(chan changeResult, 1)
	go func() {
		c, err := p.change(ctx, p.operators(old), "minority", 1)
		minorityResult <- changeResult{c, err}
	}()
	var majorityResult changeResult
	majority := otherKeepers(old)
	p.await("the majority has accepted revision 2", func() bool {
		majorityResult.changed, majorityResult.err = p.change(ctx, p.operators(majority[0]), "majority", 1)
		var f *refuser.Refusal
		return majorityResult.err == nil || errors.As(majorityResult.err, &f) && f.Kind() == refuser.Conflict
	})
	p.awaitLeader(majority...)
	p.await("the old leader has lost leadership", func() bool { return p.leader(old) < 0 })
	p.mustChange(majority[1], "next", 2)
	accepted := []administrator.ChangeResult{{ChangeID: "next", Revision: 3}}
	for _, r := range []changeResult{majorityResult, <-minorityResult} {
		if r.err == nil {
			accepted = append(accepted, r.changed)
		}
	}
	return accepted
}

// checkAccepted checks that every accepted change is in the history with the
// revision that was reported to its operator.
func (p *partitionedSite) checkAccepted(accepted []administrator.ChangeResult) {
	p.t.Helper()
	revisions := make(map[identifier.ChangeID]identifier.Revision)
	for _, r := range p.history(0).Records {
		revisions[r.ChangeID] = r.Revision
	}
	for _, c := range accepted {
		if revisions[c.ChangeID] != c.Revision {
			p.t.Errorf("%s was accepted as revision %d, history has %d", c.ChangeID, c.Revision, revisions[c.ChangeID])
		}
	}
}

// checkCutOneWay checks that bytes were lost in one direction only.
func (p *partitionedSite) checkCutOneWay(domain byte, wantOutbound bool) {
	p.t.Helper()
	outbound, inbound := p.lost(domain)
	if (outbound > 0) != wantOutbound || (inbound > 0) == wantOutbound {
		p.t.Errorf("lost %d bytes from the failure domain and %d bytes to it", outbound, inbound)
	}
}

// checkOneHistory checks that all keepers reach revision want and have the same
// history, with exactly one change for each revision.
func (p *partitionedSite) checkOneHistory(want identifier.Revision) {
	p.t.Helper()
	for _, i := range []int{0, 1, 2} {
		p.awaitApplied(i, want)
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

// changeResult is the outcome of one operator's change.
type changeResult struct {
	changed administrator.ChangeResult
	err     error
}

// TestConcurrentOperatorChanges makes two operators send changes with the same
// base revision through different hosts, repeatedly. Exactly one change may be
// accepted each time.
func TestConcurrentOperatorChanges(t *testing.T) {
	t.Parallel()
	p := newPartitioned(t, keeperCount)
	for round := range raceRounds {
		base := identifier.Revision(round + 1)
		var results [2]changeResult
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

// checkRace checks that one of two changes was accepted and that the other was
// refused with a conflict that names the current revision.
func (p *partitionedSite) checkRace(base identifier.Revision, results []changeResult) {
	p.t.Helper()
	slices.SortFunc(results, func(a, b changeResult) int { return cmp.Compare(b.changed.Revision, a.changed.Revision) })
	accepted, refused := results[0], results[1]
	if accepted.err != nil || accepted.changed.Revision != base+1 {
		p.t.Fatalf("base %d: want one accepted change, got errors %v and %v", base, accepted.err, refused.err)
	}
	f := p.refusalIn(refused.err)
	if f.Kind() != refuser.Conflict || !f.IsNotRun() || !strings.Contains(f.Error(), fmt.Sprint("revision ", base+1)) {
		p.t.Errorf("base %d: the other change was refused with %s: %v", base, f.Kind(), f)
	}
}

// TestChangeResentAfterLostAnswer loses the response to a change and resends the
// change with the same id through every host. Each host must report the revision
// of the first attempt.
func TestChangeResentAfterLostAnswer(t *testing.T) {
	t.Parallel()
	p := newPartitioned(t, keeperCount)
	responses := new(direction)
	k := newLink(t, p.settings[0].Operators.Listen, new(direction), responses)
	responses.cut.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := p.change(ctx, "http://"+k.address(), "resent", 1)
		ended <- err
	}()
	for _, i := range []int{0, 1, 2} {
		p.awaitApplied(i, 2)
	}
	p.await("the response is lost", func() bool { return responses.lost.Load() > 0 })
	cancel()
	if err := <-ended; !errors.Is(err, context.Canceled) {
		t.Fatalf("the operator got %v", err)
	}
	want := administrator.ChangeResult{ChangeID: "resent", Revision: 2, Resent: true}
	for _, i := range []int{1, 0, 2} {
		got, err := p.change(t.Context(), p.operators(i), "resent", 1)
		if diff := gocmp.Diff(want, got); diff != "" || err != nil {
			t.Errorf("h%d: error %v, response differs (-want +got):\n%s", i, err, diff)
		}
	}
	p.checkOneHistory(2)
}
