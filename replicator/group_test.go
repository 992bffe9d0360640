package replicator

import (
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// testTimeout is the election timeout in test groups.
const testTimeout = time.Second

// testingT holds the methods that *testing.T and *rapid.T have in common.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// node simulates one replica with its disk and state machine.
type node struct {
	id        identifier.ReplicaID
	r         *Replica
	clockRate float64
	// disk is the synced state. queue holds the Save effects that are not yet
	// synced, and the messages that wait for them.
	disk         Stored
	queue        []Effect
	appliedHash  string
	appliedIndex identifier.LogIndex
	// paused is set while the process is stopped, and diskLost once the node and
	// its disk are permanently lost.
	paused, diskLost bool
}

// packet is a message in flight.
type packet struct {
	from, to identifier.ReplicaID
	m        Message
}

// group simulates a set of replicas and records what the checks compare.
type group struct {
	t       testingT
	cfg     Config
	elapsed time.Duration
	nodes   []*node
	packets []packet
	nextID  uint64

	leaders          map[identifier.Term]identifier.ReplicaID
	hashes           map[identifier.LogIndex]string
	highestCommitted identifier.LogIndex
	reads            map[uint64]identifier.LogIndex
	readsReady       int
}

// newGroup returns a group of n voters that start from the same initial
// snapshot. rates are the rates of their clocks, 1 by default.
func newGroup(t testingT, n int, rates ...float64) *group {
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
		g.start(&node{id: identifier.ReplicaID(i + 1), clockRate: rate, disk: Stored{Base: InitialPosition, Snapshot: Snapshot{Position: InitialPosition, Members: m}}})
	}
	return g
}

// start adds a node to the group, or restarts it from its disk.
func (g *group) start(n *node) {
	cfg := g.cfg
	cfg.ID, cfg.Seed = n.id, uint64(len(g.packets))
	stored := n.disk
	stored.Entries = slices.Clone(stored.Entries)
	n.r, n.queue, n.paused = New(cfg, stored, g.now(n)), nil, false
	n.appliedHash, n.appliedIndex = string(stored.Snapshot.Data), stored.Snapshot.Index
	if !slices.Contains(g.nodes, n) {
		g.nodes = append(g.nodes, n)
	}
}

// addEmptyNode starts a replica without stored state, under a new identity.
func (g *group) addEmptyNode() *node {
	n := &node{id: identifier.ReplicaID(len(g.nodes) + 1), clockRate: 1}
	g.start(n)
	return n
}

// now returns the time on the clock of n.
func (g *group) now(n *node) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(float64(g.elapsed) * n.clockRate))
}

// step handles one event on n and checks that at most one lease is held.
func (g *group) step(n *node, e Event) {
	if n.diskLost || n.paused {
		return
	}
	for _, f := range n.r.Step(g.now(n), e) {
		g.carryOut(n, f)
	}
	g.checkLease()
}

// carryOut carries out one effect. Save effects and the messages that depend on
// them wait for sync.
func (g *group) carryOut(n *node, f Effect) {
	switch f := f.(type) {
	case SaveState, SaveEntries, SaveCheckpoint:
		n.queue = append(n.queue, f)
	case Send:
		if f.AfterSync {
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
		n.appliedHash, n.appliedIndex = string(f.Snapshot.Data), f.Snapshot.Index
		g.checkHash(n)
	case RoleChanged:
		g.checkLeader(n, f)
	case ReadReady:
		g.checkRead(f)
	}
}

// sync stores the queued Save effects of n and sends the messages that waited
// for them.
func (g *group) sync(n *node) {
	if n.diskLost || n.paused {
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

// apply applies e on n: it adds e to the hash of all entries that n has
// applied.
func (g *group) apply(n *node, e Entry) {
	if e.Index != n.appliedIndex+1 {
		g.t.Fatalf("replica %d applied %d after %d", n.id, e.Index, n.appliedIndex)
	}
	h := fnv.New64a()
	fmt.Fprintf(h, "%s %d %d %s", n.appliedHash, e.Index, e.Term, e.Data)
	n.appliedHash, n.appliedIndex = fmt.Sprintf("%016x", h.Sum64()), e.Index
	g.checkHash(n)
}

// checkHash fails the test if n applied other entries than another replica did
// up to the same index.
func (g *group) checkHash(n *node) {
	g.t.Helper()
	if n.appliedIndex <= 1 {
		return
	}
	if want, ok := g.hashes[n.appliedIndex]; ok && want != n.appliedHash {
		g.t.Fatalf("replica %d applied other entries up to %d than another replica", n.id, n.appliedIndex)
	}
	g.hashes[n.appliedIndex] = n.appliedHash
	g.highestCommitted = max(g.highestCommitted, n.appliedIndex)
}

// checkLeader fails the test if a term has two leaders.
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

// checkRead fails the test if a read index is lower than the highest index that
// was committed when the read started.
func (g *group) checkRead(f ReadReady) {
	g.t.Helper()
	if f.Index < g.reads[f.ID] {
		g.t.Fatalf("read %d has index %d, but %d was committed before it", f.ID, f.Index, g.reads[f.ID])
	}
	g.readsReady++
}

// checkLease fails the test if two replicas hold a lease at the same time.
func (g *group) checkLease() {
	g.t.Helper()
	var holder *node
	for _, n := range g.nodes {
		if n.diskLost || !g.now(n).Before(n.r.LeaseUntil(n.r.Commit())) {
			continue
		}
		if holder != nil {
			g.t.Fatalf("replicas %d and %d hold a lease at the same time", holder.id, n.id)
		}
		holder = n
	}
}

// deliver delivers a packet, unless its receiver is unknown, paused or lost.
func (g *group) deliver(p packet) {
	for _, n := range g.nodes {
		if n.id == p.to {
			g.step(n, Receive{p.from, p.m})
		}
	}
}

// maxPackets limits the packets in flight. Beyond it, the oldest are lost.
const maxPackets = 60

// runRounds runs a number of rounds of length d, in which only the replicas ids
// tick, sync and exchange packets. All other packets stay in flight.
func (g *group) runRounds(ids []identifier.ReplicaID, rounds int, d time.Duration) {
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
		if !n.diskLost && n.r.Role() == Leader && (best == nil || n.r.state.Term > best.r.state.Term) {
			best = n
		}
	}
	return best
}

// id returns an unused ID for a proposal, change or read.
func (g *group) id() uint64 { g.nextID++; return g.nextID }

// propose proposes one command on n.
func (g *group) propose(n *node) {
	id := g.id()
	g.step(n, Propose{[]Proposal{{id, []byte(fmt.Sprint("command ", id))}}})
}

// read requests a read index on n.
func (g *group) read(n *node) {
	id := g.id()
	g.reads[id] = g.highestCommitted
	g.step(n, Read{id})
}
