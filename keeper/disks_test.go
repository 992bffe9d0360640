package keeper

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/recorder/standin"
	"cyclamenhub.org/timer"
)

// fullGroup is three voters and a learner, each on a disk that can be full.
type fullGroup struct {
	*cluster
	rng       *rand.Rand
	disks     map[identifier.Host]*standin.Disk
	reopeners map[identifier.Host]*Reopener
	stop      context.CancelFunc
	// acknowledged are the entries that were acknowledged, and proposed the number of
	// entries.
	acknowledged []string
	proposed     int
}

// newFullGroup returns a group that runs on disks with room.
func newFullGroup(t *testing.T, seed uint64) *fullGroup {
	g := &fullGroup{
		cluster: newCluster(t, 4, nil), rng: rand.New(rand.NewPCG(seed, 1)),
		disks: make(map[identifier.Host]*standin.Disk), reopeners: make(map[identifier.Host]*Reopener),
	}
	for _, h := range g.hosts {
		g.disks[h] = standin.NewDisk()
	}
	g.startGroup()
	return g
}

// startGroup opens all replicas.
func (g *fullGroup) startGroup() {
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	for _, h := range g.hosts {
		r := NewReopener(func() (*Keeper, error) { return g.open(h) }, slog.New(slog.DiscardHandler))
		if err := r.Open(); err != nil {
			g.t.Fatal(err)
		}
		g.reopeners[h] = r
		go r.Run(ctx)
	}
}

// stopGroup ends all replicas.
func (g *fullGroup) stopGroup() {
	g.stop()
	for _, r := range g.reopeners {
		_ = r.Close() // a replica that has failed returns its failure again
	}
}

// open opens the replica of a host.
func (g *fullGroup) open(h identifier.Host) (*Keeper, error) {
	m := &machine{}
	k, err := Open(Options{
		Host: h, Hosts: g.hosts[:3], Voters: 3, JoinOnly: h == g.hosts[3], DataFolder: g.folders[h], Files: g.disks[h],
		Contacts: func() []identifier.Host { return g.hosts }, StateMachine: m, Transport: memoryTransport{g.cluster, h},
		Clock: timer.System{}, Log: slog.New(slog.DiscardHandler), SnapshotEntries: 8,
	})
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.keepers[h], g.machines[h] = k, m
	return k, nil
}

// propose proposes an entry at a host and reports whether it was acknowledged within
// two seconds.
func (g *fullGroup) propose(h identifier.Host) bool {
	ctx, cancel := context.WithTimeout(g.t.Context(), 2*time.Second)
	defer cancel()
	g.proposed++
	entry := fmt.Sprintf("entry %d", g.proposed)
	if _, err := g.reopeners[h].Load().Propose(ctx, []byte(entry)); err != nil {
		return false
	}
	g.acknowledged = append(g.acknowledged, entry)
	return true
}

// refused returns the number of operations that full disks refused.
func (g *fullGroup) refused() int {
	n := 0
	for h, d := range g.disks {
		n += d.Refused(filepath.Join(g.folders[h], "group-0"))
	}
	return n
}

// anyHost returns a random host.
func (g *fullGroup) anyHost() identifier.Host { return g.hosts[g.rng.IntN(len(g.hosts))] }

// upTo returns a random time below most.
func (g *fullGroup) upTo(most time.Duration) time.Duration {
	return time.Duration(g.rng.Int64N(int64(most)))
}

// fillOne fills the disk of the leader or of any host for one to five seconds, while
// entries are proposed.
func (g *fullGroup) fillOne() {
	h := g.anyHost()
	if g.rng.IntN(3) == 0 {
		h, _ = g.leader()
	}
	g.disks[h].Fill(standin.Failure(1+g.rng.IntN(2)), g.rng.IntN(6))
	for until := time.Now().Add(time.Second + g.upTo(4*time.Second)); time.Now().Before(until); {
		g.propose(g.anyHost())
		time.Sleep(g.upTo(300 * time.Millisecond))
	}
	g.disks[h].Free()
}

// check checks that each host acknowledges an entry and then reads all that were
// acknowledged.
func (g *fullGroup) check(seed uint64) {
	for _, h := range g.hosts {
		g.await(fmt.Sprintf("seed %d: %s acknowledges an entry", seed, h), func() bool { return g.propose(h) })
	}
	for _, h := range g.hosts {
		var lines []string
		g.await(fmt.Sprintf("seed %d: %s reads", seed, h), func() bool {
			ctx, cancel := context.WithTimeout(g.t.Context(), 2*time.Second)
			defer cancel()
			return g.reopeners[h].ReadState(ctx, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				lines = g.machines[h].all()
			}) == nil
		})
		for _, e := range g.acknowledged {
			if !slices.Contains(lines, e) {
				g.t.Fatalf("seed %d: %q was acknowledged and is missing at %s", seed, e, h)
			}
		}
	}
}

// TestGroupGoesOnAfterDisksWereFullInTurn guards against a group that acknowledges
// nothing, or has lost what it acknowledged, after disks were full one after another
// and after a loss of power of all hosts.
func TestGroupGoesOnAfterDisksWereFullInTurn(t *testing.T) {
	refused := 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			g := newFullGroup(t, seed)
			defer func() { g.stopGroup() }()
			g.leader()
			for range 6 {
				g.fillOne()
			}
			g.check(seed)
			refused += g.refused()
			g.stopGroup()
			for _, d := range g.disks {
				if err := d.LosePower(); err != nil {
					t.Fatal(err)
				}
			}
			g.startGroup()
			g.check(seed)
		})
	}
	if refused == 0 {
		t.Error("no disk was full when a replica wrote")
	}
}
