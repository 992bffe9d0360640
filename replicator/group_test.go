package replicator

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// testTimeout is the election timeout of test groups.
const testTimeout = time.Second

// failer is what *testing.T and *rapid.T share.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// node is one replica with its disk and state machine.
type node struct {
	id   identifier.ReplicaID
	r    *Replica
	rate float64
	// disk is what was synced, and queue what is not: Save effects and the
	// promises that wait for them.
	disk  Stored
	queue []Effect
	hash  string
	index identifier.LogIndex
	// frozen is set while the process is stopped, gone once its disk is lost.
	frozen, gone bool
}

// packet is a message under way.
type packet struct {
	from, to identifier.ReplicaID
	m        Message
}

// group is a set of replicas with everything that happened to them.
type group struct {
	t       failer
	cfg     Config
	elapsed time.Duration
	nodes   []*node
	packets []packet
	nextID  uint64

	leaders map[identifier.Term]identifier.ReplicaID
	hashes  map[identifier.LogIndex]string
	highest identifier.LogIndex
	reads   map[uint64]identifier.LogIndex
	ready   int
}

// newGroup returns n voters that share a founding snapshot.
func newGroup(t failer, n int, rates ...float64) *group {
	g := &group{
		t: t, cfg: Config{ElectionTimeout: testTimeout, SnapshotTimeout: testTimeout, TrailingEntries: 3, MaxInflightEntries: 8},
		leaders: make(map[identifier.Term]identifier.ReplicaID), hashes: make(map[identifier.LogIndex]string),
		reads: make(map[uint64]identifier.LogIndex),
	}
	var m Members
	for i := range n {
		m = m.with(Member{ID: identifier.ReplicaID(i + 1), Voter: true})
	}
	for i := range n {
		rate := 1.0
		if i < len(rates) {
			rate = rates[i]
		}
		g.start(&node{id: identifier.ReplicaID(i + 1), rate: rate, disk: Stored{Base: FoundingPosition, Snapshot: Snapshot{Position: FoundingPosition, Members: m}}})
	}
	return g
}

// start adds a node, or starts it again from its disk.
func (g *group) start(n *node) {
	cfg := g.cfg
	cfg.ID, cfg.Seed = n.id, uint64(len(g.packets))
	stored := n.disk
	stored.Entries = slices.Clone(stored.Entries)
	n.r, n.queue, n.frozen = New(cfg, stored, g.now(n)), nil, false
	n.hash, n.index = string(stored.Snapshot.Data), stored.Snapshot.Index
	if !slices.Contains(g.nodes, n) {
		g.nodes = append(g.nodes, n)
	}
}

// join starts an empty replica under a fresh identity.
func (g *group) join() *node {
	n := &node{id: identifier.ReplicaID(len(g.nodes) + 1), rate: 1}
	g.start(n)
	return n
}

// now reads the clock of n.
func (g *group) now(n *node) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(g.elapsed) * n.rate))
}

// step runs one event and the checks that hold at all times.
func (g *group) step(n *node, e Event) {
	if n.gone || n.frozen {
		return
	}
	for _, f := range n.r.Step(g.now(n), e) {
		g.perform(n, f)
	}
	g.checkLease()
}

// perform carries out one effect. Promises wait for sync.
func (g *group) perform(n *node, f Effect) {
	switch f := f.(type) {
	case SaveState, SaveEntries, SaveCheckpoint:
		n.queue = append(n.queue, f)
	case Send:
		if f.Promise {
			n.queue = append(n.queue, f)
			return
		}
		g.packets = append(g.packets, packet{n.id, f.To, f.Message})
	case SendSnapshot:
		g.packets = append(g.packets, packet{n.id, f.To, InstallSnapshot{Term: f.Term, Stamp: f.Stamp, Snapshot: n.disk.Snapshot}})
	case Apply:
		for _, e := range f.Entries {
			g.apply(n, e)
		}
	case Restore:
		n.hash, n.index = string(f.Snapshot.Data), f.Snapshot.Index
		g.checkHash(n)
	case RoleChanged:
		g.checkLeader(n, f)
	case ReadReady:
		g.checkRead(f)
	}
}

// sync stores everything that n has queued and lets its promises go.
func (g *group) sync(n *node) {
	if n.gone || n.frozen {
		return
	}
	queue := n.queue
	n.queue = nil
	var seq uint64
	for _, f := range queue {
		switch f := f.(type) {
		case SaveState:
			n.disk.State, seq = f.State, f.Seq
		case SaveEntries:
			keep := f.Entries[0].Index - n.disk.Base.Index - 1
			n.disk.Entries, seq = append(n.disk.Entries[:keep:keep], f.Entries...), f.Seq
		case SaveCheckpoint:
			n.disk, seq = f.Stored, f.Seq
		case Send:
			g.packets = append(g.packets, packet{n.id, f.To, f.Message})
		}
	}
	if seq > 0 {
		g.step(n, Synced{seq})
	}
}

// apply extends the hash of all that n has applied.
func (g *group) apply(n *node, e Entry) {
	if e.Index != n.index+1 {
		g.t.Fatalf("replica %d applied %d after %d", n.id, e.Index, n.index)
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d %d %s", n.hash, e.Index, e.Term, e.Data)
	n.hash, n.index = fmt.Sprintf("%016x", h.Sum64()), e.Index
	g.checkHash(n)
}

// checkHash compares what n has applied with what others have.
func (g *group) checkHash(n *node) {
	g.t.Helper()
	if n.index <= 1 {
		return
	}
	if want, ok := g.hashes[n.index]; ok && want != n.hash {
		g.t.Fatalf("replica %d applied another prefix up to %d than others", n.id, n.index)
	}
	g.hashes[n.index] = n.hash
	g.highest = max(g.highest, n.index)
}

// checkLeader finds two leaders of one term.
func (g *group) checkLeader(n *node, f RoleChanged) {
	g.t.Helper()
	if f.Role != Leader {
		return
	}
	if other, ok := g.leaders[f.Term]; ok && other != n.id {
		g.t.Fatalf("replicas %d and %d lead term %d", other, n.id, f.Term)
	}
	g.leaders[f.Term] = n.id
}

// checkRead finds a read index older than what was committed when the read
// came in.
func (g *group) checkRead(f ReadReady) {
	g.t.Helper()
	if f.Index < g.reads[f.ID] {
		g.t.Fatalf("read %d sees %d, but %d was committed before it", f.ID, f.Index, g.reads[f.ID])
	}
	g.ready++
}

// checkLease finds two replicas that hold a lease at once.
func (g *group) checkLease() {
	g.t.Helper()
	var holder *node
	for _, n := range g.nodes {
		if n.gone || !g.now(n).Before(n.r.LeaseUntil()) {
			continue
		}
		if holder != nil {
			g.t.Fatalf("replicas %d and %d hold a lease at once", holder.id, n.id)
		}
		holder = n
	}
}

// deliver hands a packet over, unless its receiver is away.
func (g *group) deliver(p packet) {
	for _, n := range g.nodes {
		if n.id == p.to {
			g.step(n, Receive{p.from, p.m})
		}
	}
}

// maxPackets bounds the packets under way; the oldest ones are lost.
const maxPackets = 60

// exchange lets the named replicas alone talk and sync, for a number of rounds
// of length d. Packets of others are delayed.
func (g *group) exchange(ids []identifier.ReplicaID, rounds int, d time.Duration) {
	for range rounds {
		g.elapsed += d
		for _, n := range g.nodes {
			if slices.Contains(ids, n.id) {
				g.step(n, Tick{})
			}
		}
		for range 4 {
			for _, n := range g.nodes {
				if slices.Contains(ids, n.id) {
					g.sync(n)
				}
			}
			packets := g.packets[max(0, len(g.packets)-maxPackets):]
			g.packets = nil
			for _, p := range packets {
				if slices.Contains(ids, p.from) && slices.Contains(ids, p.to) {
					g.deliver(p)
				} else {
					g.packets = append(g.packets, p)
				}
			}
		}
	}
}

// ids returns the ids of all nodes.
func (g *group) ids() []identifier.ReplicaID {
	var ids []identifier.ReplicaID
	for _, n := range g.nodes {
		ids = append(ids, n.id)
	}
	return ids
}

// leader returns the leader of the highest term, or nil.
func (g *group) leader() *node {
	var best *node
	for _, n := range g.nodes {
		if !n.gone && n.r.Role() == Leader && (best == nil || n.r.state.Term > best.r.state.Term) {
			best = n
		}
	}
	return best
}

// id returns a fresh id of a proposal, change or read.
func (g *group) id() uint64 { g.nextID++; return g.nextID }

// propose proposes one command at n.
func (g *group) propose(n *node) {
	id := g.id()
	g.step(n, Propose{[]Proposal{{id, []byte(fmt.Sprint("command ", id))}}})
}

// read reads at n.
func (g *group) read(n *node) {
	id := g.id()
	g.reads[id] = g.highest
	g.step(n, Read{id})
}
