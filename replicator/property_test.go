package replicator

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
)

// walk draws what happens to a group.
type walk struct {
	*group
	wiped int
}

// node draws one node.
func (w *walk) node(t *rapid.T) *node {
	return w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
}

// subset draws some of the nodes, a majority more often than not.
func (w *walk) subset(t *rapid.T) []identifier.ReplicaID {
	ids := rapid.Permutation(w.ids()).Draw(t, "order")
	return ids[:rapid.IntRange(len(ids)/2, len(ids)).Draw(t, "size")]
}

// packet draws and takes a packet, and puts it back if keep is drawn.
func (w *walk) packet(t *rapid.T) (packet, bool) {
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

// action is one thing that may happen, drawn as often as weight says.
type action struct {
	weight int
	run    func(t *rapid.T)
}

// actions returns everything that may happen.
func (w *walk) actions() []action {
	return []action{
		{4, func(t *rapid.T) {
			w.elapsed += time.Duration(rapid.IntRange(1, 600).Draw(t, "ms")) * time.Millisecond
			w.step(w.node(t), Tick{})
		}},
		{4, w.contend},
		{4, func(t *rapid.T) {
			ms := rapid.SampledFrom([]int{20, 100, 400}).Draw(t, "ms")
			w.exchange(w.subset(t), rapid.IntRange(1, 12).Draw(t, "rounds"), time.Duration(ms)*time.Millisecond)
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
			if n := w.node(t); !n.gone {
				w.start(n)
			}
		}},
		{2, func(t *rapid.T) { w.node(t).frozen = true }},
		{4, func(t *rapid.T) { w.node(t).frozen = false }},
		{2, func(t *rapid.T) { n := w.node(t); w.step(n, Compact{[]byte(n.hash)}) }},
		{1, func(t *rapid.T) {
			if n := w.node(t); len(w.nodes) < 8 && w.wiped < 2 && !n.gone {
				n.gone, w.wiped = true, w.wiped+1
				w.join()
			}
		}},
		{3, w.change},
	}
}

// contend lets the election timeouts of several replicas end at once.
func (w *walk) contend(t *rapid.T) {
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

// deliverAll hands over every packet under way.
func (w *walk) deliverAll() {
	packets := w.packets
	w.packets = nil
	for _, p := range packets {
		w.deliver(p)
	}
}

// change asks one of the leaders for a change of members.
func (w *walk) change(t *rapid.T) {
	id := w.node(t).id
	c := rapid.SampledFrom([]Change{AddLearner{ID: id}, Promote{id}, Promote{id}, Remove{id}}).Draw(t, "change")
	for _, n := range w.nodes {
		if n.r.Role() == Leader {
			w.step(n, ChangeMembers{w.id(), c})
		}
	}
}

// run draws and runs actions.
func (w *walk) run(t *rapid.T, steps int) {
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

// heal brings every node back and, if no disk was lost, demands that the group
// works and has everything that was ever committed.
func (w *walk) heal(t *rapid.T) {
	for _, n := range w.nodes {
		n.frozen = false
	}
	w.exchange(w.ids(), 200, testTimeout/10)
	if n := w.leader(); n != nil && n.r.leads() && n.r.Commit() < w.highest {
		t.Fatalf("leader %d has committed %d, but %d was committed before", n.id, n.r.Commit(), w.highest)
	}
	if n := w.leader(); w.wiped == 0 && (n == nil || !n.r.leads()) {
		t.Fatalf("a healed group has no leader")
	}
}

// TestGroupProperties checks, over any sequence of events: one leader a term,
// one lease at a time, equal applied prefixes, no committed entry lost, and
// reads that see all that was committed before them.
func TestGroupProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.97, 1.03)
		n := rapid.SampledFrom([]int{1, 3, 3, 4, 5}).Draw(t, "replicas")
		w := &walk{group: newGroup(t, n, rapid.SliceOfN(rate, n, n).Draw(t, "rates")...)}
		w.exchange(w.ids(), rapid.IntRange(0, 30).Draw(t, "start"), testTimeout/10)
		w.run(t, 200)
		w.heal(t)
	})
}
