package replicator

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
)

// scenario generates random events for a group.
type scenario struct {
	*group
	disksLost int
}

// node picks one node.
func (w *scenario) node(t *rapid.T) *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
}

// subset picks at least half of the nodes, rounded down, so that it is mostly a
// majority.
func (w *scenario) subset(t *rapid.T) []identifier.ReplicaID {
	ids := rapid.Permutation(w.ids()).Draw(t, "order")
	return ids[:rapid.IntRange(len(ids)/2, len(ids)).Draw(t, "size")]
}

// packet picks a packet and usually removes it from those in flight. Otherwise
// it stays and may be delivered again.
func (w *scenario) packet(t *rapid.T) (packet, bool) {
	if len(w.packets) == 0 {
		return packet{}, false
	}
	i := rapid.IntRange(0, len(w.packets)-1).Draw(t, "packet")
	p := w.packets[i]
	if rapid.IntRange(0, 3).Draw(t, "repeat") > 0 {
		w.packets = slices.Delete(w.packets, i, i+1)
	}
	return p, true
}

// action is one possible event. Its probability is proportional to weight.
type action struct {
	weight int
	run    func(t *rapid.T)
}

// actions returns all possible actions.
func (w *scenario) actions() []action {
	return []action{
		{4, func(t *rapid.T) {
			w.elapsed += time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond
			w.step(w.node(t), Tick{})
		}},
		{4, w.timeOutTogether},
		{4, func(t *rapid.T) {
			ms := rapid.SampledFrom([]int{20, 100, 400}).Draw(t, "ms")
			w.runRounds(w.subset(t), rapid.IntRange(1, 12).Draw(t, "rounds"), time.Duration(ms)*time.Millisecond)
		}},
		{20, func(t *rapid.T) {
			if p, ok := w.packet(t); ok {
				w.deliver(p)
			}
		}},
		{8, func(*rapid.T) { w.deliverAll() }},
		{2, func(t *rapid.T) { w.packet(t) }},
		{8, func(t *rapid.T) { w.sync(w.node(t)) }},
		{4, func(t *rapid.T) { w.propose(w.node(t)) }},
		{4, func(*rapid.T) {
			if n := w.leader(); n != nil {
				w.propose(n)
			}
		}},
		{3, func(t *rapid.T) { w.read(w.node(t)) }},
		{4, func(t *rapid.T) {
			if n := w.node(t); !n.diskLost {
				w.start(n)
			}
		}},
		{2, func(t *rapid.T) { w.node(t).paused = true }},
		{4, func(t *rapid.T) { w.node(t).paused = false }},
		{2, func(t *rapid.T) { n := w.node(t); w.step(n, Compact{[]byte(n.appliedHash)}) }},
		{1, func(t *rapid.T) {
			if n := w.node(t); len(w.nodes) < 8 && w.disksLost < 2 && !n.diskLost {
				n.diskLost, w.disksLost = true, w.disksLost+1
				w.addEmptyNode()
			}
		}},
		{3, w.change},
	}
}

// timeOutTogether lets the election timeouts of several replicas expire at the
// same time.
func (w *scenario) timeOutTogether(t *rapid.T) {
	w.elapsed += time.Duration(rapid.IntRange(900, 2100).Draw(t, "ms")) * time.Millisecond
	ids := w.subset(t)
	for _, n := range w.nodes {
		if slices.Contains(ids, n.id) {
			w.step(n, Tick{})
		}
	}
	w.deliverAll()
	w.deliverAll()
}

// deliverAll delivers all packets in flight.
func (w *scenario) deliverAll() {
	packets := w.packets
	w.packets = nil
	for _, p := range packets {
		w.deliver(p)
	}
}

// change requests a change of members from every replica that has the role of
// leader.
func (w *scenario) change(t *rapid.T) {
	id := w.node(t).id
	c := rapid.SampledFrom([]Change{AddLearner{ID: id}, Promote{id}, Promote{id}, Remove{id}}).Draw(t, "change")
	for _, n := range w.nodes {
		if n.r.Role() == Leader {
			w.step(n, ChangeMembers{w.id(), c})
		}
	}
}

// run picks and runs random actions.
func (w *scenario) run(t *rapid.T, steps int) {
	var weighted []func(*rapid.T)
	for _, a := range w.actions() {
		for range a.weight {
			weighted = append(weighted, a.run)
		}
	}
	for range steps {
		weighted[rapid.IntRange(0, len(weighted)-1).Draw(t, "action")](t)
	}
}

// recoverAndCheck resumes all nodes. Then it checks that a leader, if there is
// one, has committed everything that was ever committed, and that there is a
// leader if no disk was lost.
func (w *scenario) recoverAndCheck(t *rapid.T) {
	for _, n := range w.nodes {
		n.paused = false
	}
	w.runRounds(w.ids(), 200, testTimeout/10)
	if n := w.leader(); n != nil && n.r.hasCommittedInTerm() && n.r.Commit() < w.highestCommitted {
		t.Fatalf("leader %d has committed %d, but %d was committed before", n.id, n.r.Commit(), w.highestCommitted)
	}
	if n := w.leader(); w.disksLost == 0 && (n == nil || !n.r.hasCommittedInTerm()) {
		t.Fatalf("no leader after all nodes resumed")
	}
}

// TestGroupProperties checks these properties under random events: a term has
// at most one leader, at most one replica holds a lease, all replicas apply the
// same entries in the same order, no committed entry is lost, and a read sees
// everything that was committed before it.
func TestGroupProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.97, 1.03)
		n := rapid.SampledFrom([]int{1, 3, 3, 4, 5}).Draw(t, "replicas")
		w := &scenario{group: newGroup(t, n, rapid.SliceOfN(rate, n, n).Draw(t, "rates")...)}
		w.runRounds(w.ids(), rapid.IntRange(0, 30).Draw(t, "start"), testTimeout/10)
		w.run(t, 200)
		w.recoverAndCheck(t)
	})
}
