package keeper

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/timer"
)

// machine is a state machine that stores its entries as lines.
type machine struct {
	mu    sync.Mutex
	lines []string
}

func (m *machine) Apply(entries ...[]byte) (results [][]byte) {
	for _, entry := range entries {
		results = append(results, m.applyOne(entry))
	}
	return results
}

// applyOne applies one entry.
func (m *machine) applyOne(entry []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lines = append(m.lines, string(entry))
	return fmt.Appendf(nil, "%s is %d", entry, len(m.lines))
}

func (m *machine) Snapshot() []byte { return []byte(strings.Join(m.all(), "\n")) }

func (m *machine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lines = nil
	if len(b) > 0 {
		m.lines = strings.Split(string(b), "\n")
	}
	return nil
}

// all returns a copy of the lines.
func (m *machine) all() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.lines...)
}

// cluster is a group of keepers in one process.
type cluster struct {
	t       testing.TB
	hosts   []identifier.Host
	folders map[identifier.Host]string
	options func(*Options)

	mu       sync.Mutex
	peers    map[identifier.Host]*Peers // only for clusters of startLoopbackCluster
	keepers  map[identifier.Host]*Keeper
	machines map[identifier.Host]*machine
	isolated map[identifier.Host]bool
}

// newCluster returns a cluster of n keepers that are not started.
func newCluster(t testing.TB, n int, options func(*Options)) *cluster {
	c := &cluster{
		t: t, options: options, folders: make(map[identifier.Host]string),
		keepers: make(map[identifier.Host]*Keeper), machines: make(map[identifier.Host]*machine),
		isolated: make(map[identifier.Host]bool),
	}
	for i := range n {
		h := identifier.Host(fmt.Sprintf("k%d", i+1))
		c.hosts = append(c.hosts, h)
		c.folders[h] = t.TempDir()
	}
	return c
}

// startAll starts every keeper.
func (c *cluster) startAll() *cluster {
	for _, h := range c.hosts {
		c.start(h)
	}
	return c
}

// startLoopbackCluster starts n keepers that communicate through messengers
// over loopback connections.
func startLoopbackCluster(t testing.TB, n int, options func(*Options)) *cluster {
	c := newCluster(t, n, options)
	c.peers = make(map[identifier.Host]*Peers)
	addresses := make(map[identifier.Host]string)
	for _, h := range c.hosts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses[h] = ln.Addr().String()
		m := messenger.New(messenger.Options{Host: h})
		p := NewPeers(m, func(h identifier.Host) (string, bool) { return addresses[h], true })
		c.peers[h] = p
		go func() { _ = m.Serve(ln) }()
		t.Cleanup(func() { p.Close(); m.Close(); _ = ln.Close() })
	}
	c.startAll()
	t.Cleanup(c.close)
	return c
}

// start opens the keeper of a host.
func (c *cluster) start(h identifier.Host) *Keeper {
	c.t.Helper()
	m := &machine{}
	opts := Options{
		Host: h, Hosts: c.hosts, DataFolder: c.folders[h], StateMachine: m,
		Transport: memoryTransport{c, h}, Clock: timer.System{}, Log: slog.New(slog.DiscardHandler),
	}
	if p := c.peers[h]; p != nil {
		opts.Transport = p
	}
	if c.options != nil {
		c.options(&opts)
	}
	k, err := Open(opts)
	if err != nil {
		c.t.Fatal(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepers[h], c.machines[h] = k, m
	if p := c.peers[h]; p != nil {
		p.Attach(k)
	}
	return k
}

// close stops every keeper.
func (c *cluster) close() {
	for _, h := range c.hosts {
		_ = c.keeper(h).Close()
	}
}

// keeper returns the current keeper of a host.
func (c *cluster) keeper(h identifier.Host) *Keeper {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keepers[h]
}

// isolate disconnects a host from all others if isolated is set, and reconnects
// it otherwise.
func (c *cluster) isolate(h identifier.Host, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolated[h] = isolated
}

// leader waits until a keeper holds the lease and returns its host and the
// keeper.
func (c *cluster) leader() (identifier.Host, *Keeper) {
	c.t.Helper()
	for range 10000 {
		for _, h := range c.hosts {
			if _, err := c.keeper(h).Lease(); err == nil {
				return h, c.keeper(h)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatal("no keeper holds the lease")
	return "", nil
}

// await waits until ok returns true.
func (c *cluster) await(what string, ok func() bool) {
	c.t.Helper()
	for range 10000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.t.Fatalf("condition not met in time: %s", what)
}

// propose proposes an entry and fails the test on an error.
func (c *cluster) propose(k *Keeper, entry string) string {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	b, err := k.Propose(ctx, []byte(entry))
	if err != nil {
		c.t.Fatal(err)
	}
	return string(b)
}

// proposeUntilConfirmed proposes an entry again while its outcome is not known,
// as after a change of leaders. The entry may then be in the log twice.
func (c *cluster) proposeUntilConfirmed(k *Keeper, entry string) {
	c.t.Helper()
	for range 100 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		_, err := k.Propose(ctx, []byte(entry))
		cancel()
		var refusal *refuser.Refusal
		switch {
		case err == nil:
			return
		case !errors.As(err, &refusal) || refusal.Kind() != refuser.Unknown && refusal.Kind() != refuser.NoMajority:
			c.t.Fatal(err)
		}
	}
	c.t.Fatal("100 proposals were not confirmed")
}

// memoryTransport is the Transport of one host. It encodes and decodes each
// message in its protobuf form.
type memoryTransport struct {
	c    *cluster
	from identifier.Host
}

// Send delivers e unless the sender or the receiver is isolated.
func (l memoryTransport) Send(to identifier.Host, e Envelope) {
	l.c.mu.Lock()
	k := l.c.keepers[to]
	isolated := l.c.isolated[to] || l.c.isolated[l.from]
	l.c.mu.Unlock()
	if k == nil || isolated {
		return
	}
	e, err := decodeEnvelope(encodeEnvelope(e))
	if err != nil {
		l.c.t.Errorf("from %s to %s: %v", l.from, to, err)
		return
	}
	k.Receive(e)
}

// runWithFakeTime starts a cluster of n keepers under the fake clock of
// synctest and runs f.
func runWithFakeTime(t *testing.T, n int, options func(*Options), f func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, n, options).startAll()
		defer c.close()
		f(t, c)
	})
}
