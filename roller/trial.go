package roller

import (
	"sync/atomic"
	"time"

	"cyclamenhub.org/identifier"
)

// trial holds a host's counters for one rollout, or for a period without one.
type trial struct {
	rollout   identifier.RolloutID
	control   identifier.Version
	candidate identifier.Version
	routes    map[identifier.Route]int
	slots     []cellSlot
	losses    lossTracker
	_         cacheLine
	inFlight  atomic.Int64
	_         cacheLine
	// adverse counts failures and slow answers, so that the tests are skipped
	// while there are no new ones.
	adverse atomic.Uint64
	// hasLatency is whether the cells that are read contain the latencies.
	hasLatency bool
}

// cacheLine is padding that separates frequently written counters from the
// fields that every request reads.
type cacheLine [64]byte

// newTrial returns a trial with empty counters. Each of the given routes has
// its own cells.
func newTrial(d *Directive, routes []identifier.Route) *trial {
	t := &trial{
		rollout: d.Rollout, control: d.Control, candidate: d.Candidate,
		routes: make(map[identifier.Route]int, len(routes)+1),
		slots:  make([]cellSlot, 0, (len(routes)+1)*numBands),

		hasLatency: d.Rollout == "" || d.ReportAll,
	}
	for _, r := range append([]identifier.Route{OtherRoute}, routes...) {
		if _, ok := t.routes[r]; ok {
			continue
		}
		t.routes[r] = len(t.slots)
		for b := range Band(numBands) {
			t.slots = append(t.slots, cellSlot{key: CellKey{Route: r, Band: b}})
		}
	}
	for _, th := range d.Thresholds {
		if i, ok := t.routes[th.Route]; ok && th.Band < numBands {
			t.slots[i+int(th.Band)].threshold = th.Latency
		}
	}
	return t
}

// slotOf returns the index of the cell that counts a request.
func (t *trial) slotOf(r identifier.Route, b Band) int {
	return t.routes[t.routeKey(r)] + int(min(b, numBands-1))
}

// routeKey returns r, or OtherRoute if r has no cells of its own.
func (t *trial) routeKey(r identifier.Route) identifier.Route {
	if _, ok := t.routes[r]; ok {
		return r
	}
	return OtherRoute
}

// version returns the version of an arm.
func (t *trial) version(a Arm) identifier.Version {
	if a == Candidate {
		return t.candidate
	}
	return t.control
}

// observe counts how a request ended.
func (t *trial) observe(a Assignment, e Result) {
	if e.Outcome == Lost {
		e.Outcome = Unreachable
		if t.losses.record(e.Server, a.losses) {
			e.Outcome = Failed
		}
	}
	slot := &t.slots[a.slot]
	slot.observe(a, e.Outcome, e.Latency)
	if e.Outcome == Failed {
		t.adverse.Add(1)
	}
	if e.Outcome == Succeeded && !a.begun {
		t.observeFirst(a, e.Latency)
	}
}

// observeFirst counts a request whose first content took longer than the
// threshold.
func (t *trial) observeFirst(a Assignment, latency time.Duration) {
	slot := &t.slots[a.slot]
	if slot.threshold > 0 && latency > slot.threshold {
		slot.shard(a.shard).tallies[a.arm][a.level].slow.Add(1)
		t.adverse.Add(1)
	}
}

// cells reads the counters. It includes the latency histograms between rollouts,
// when the thresholds of the next rollout are computed from them, and in a
// rollout with a cutover, which may begin before any threshold is known.
func (t *trial) cells() Cells {
	out := make(Cells)
	for i := range t.slots {
		if c, ok := t.slots[i].read(t.hasLatency); ok {
			out[t.slots[i].key] = c
		}
	}
	return out
}
