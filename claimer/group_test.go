package claimer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/keeper"
	"cyclamenhub.org/replicator"
	"cyclamenhub.org/timer"
)

// claimGroup is a claim group of several keepers in one process. They exchange
// messages in memory and write their data to disk.
type claimGroup struct {
	hosts []identifier.Host

	mu      sync.Mutex // guards keepers
	keepers map[identifier.Host]*keeper.Keeper
}

// newClaimGroup starts n keepers.
func newClaimGroup(t testing.TB, n int) *claimGroup {
	t.Helper()
	g := &claimGroup{keepers: make(map[identifier.Host]*keeper.Keeper)}
	for i := range n {
		g.hosts = append(g.hosts, identifier.Host(fmt.Sprintf("k%d", i+1)))
	}
	for _, h := range g.hosts {
		k, err := keeper.Open(keeper.Options{
			Group: 1, Host: h, Hosts: g.hosts, DataFolder: t.TempDir(), Clock: timer.System{},
			StateMachine: &Table{bounds: SetBounds{Claims: 1 << 30, ReceiptBytes: 1 << 40}},
			Transport:    memoryTransport{g}, Log: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		g.mu.Lock()
		g.keepers[h] = k
		g.mu.Unlock()
		t.Cleanup(func() { _ = k.Close() })
	}
	return g
}

// keeper returns the keeper of host h, or nil after closeLeader closed it.
func (g *claimGroup) keeper(h identifier.Host) *keeper.Keeper {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keepers[h]
}

// closeLeader closes the keeper of the leader and returns another host.
func (g *claimGroup) closeLeader(t testing.TB) identifier.Host {
	t.Helper()
	for _, h := range g.hosts {
		if k := g.keeper(h); k.Status().Role == replicator.Leader {
			g.mu.Lock()
			g.keepers[h] = nil
			g.mu.Unlock()
			if err := k.Close(); err != nil {
				t.Fatal(err)
			}
			for _, other := range g.hosts {
				if other != h {
					return other
				}
			}
		}
	}
	t.Fatal("no keeper is the leader")
	return ""
}

// memoryTransport delivers messages within the process.
type memoryTransport struct{ g *claimGroup }

// Send delivers e to the keeper of a host, or drops it if that keeper is
// closed.
func (m memoryTransport) Send(to identifier.Host, e keeper.Envelope) {
	if k := m.g.keeper(to); k != nil {
		k.Receive(e)
	}
}

// hostProposer proposes entries at one host. It retries until the proposal
// succeeds or its context ends, for example while the group has no leader.
type hostProposer struct {
	g    *claimGroup
	host identifier.Host
}

func (p hostProposer) Propose(ctx context.Context, _ int, entry []byte) ([]byte, error) {
	for {
		answer, err := p.g.keeper(p.host).Propose(ctx, entry)
		if err == nil || ctx.Err() != nil {
			return answer, errors.Join(err, ctx.Err())
		}
	}
}

func TestClaimsSurviveTheirLeader(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	g := newClaimGroup(t, 3)
	before := NewReplicatedClaimer(hostProposer{g, "k1"}, 1)
	settled, running := nthClaim(1), nthClaim(2)
	for _, c := range []Claim{settled, running} {
		if v, err := before.Claim(ctx, c); v != (Granted{}) {
			t.Fatalf("first claim: %#v, %v", v, err)
		}
	}
	if err := before.Settle(ctx, settled, testReceipt(1)); err != nil {
		t.Fatal(err)
	}
	after := NewReplicatedClaimer(hostProposer{g, g.closeLeader(t)}, 1)
	for _, tt := range []struct {
		claim Claim
		want  Verdict
	}{
		{settled, Settled{Receipt: testReceipt(1)}},
		{running, InProgress{Request: running.Request}},
	} {
		tt.claim.Token = NewToken()
		got, err := after.Claim(ctx, tt.claim)
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("claim after the leader was closed, error %v (-want +got):\n%s", err, diff)
		}
	}
}

// BenchmarkClaimAndSettle measures the time that a claim adds to a request: the
// group commits two entries in sequence, with the disk syncs of its keepers.
func BenchmarkClaimAndSettle(b *testing.B) {
	for _, keepers := range []int{1, 3, 5} {
		for _, callers := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("keepers=%d/callers=%d", keepers, callers), func(b *testing.B) {
				g := newClaimGroup(b, keepers)
				c := NewReplicatedClaimer(hostProposer{g, "k1"}, 1)
				if _, err := c.Claim(b.Context(), nthClaim(0)); err != nil {
					b.Fatal(err)
				}
				var n atomic.Int64
				var wg sync.WaitGroup
				b.ResetTimer()
				for range callers {
					wg.Go(func() {
						for i := n.Add(1); i <= int64(b.N); i = n.Add(1) {
							claim := nthClaim(int(i))
							if v, err := c.Claim(b.Context(), claim); v != (Granted{}) {
								b.Error(v, err)
							}
							if err := c.Settle(b.Context(), claim, newSizedReceipt(200)); err != nil {
								b.Error(err)
							}
						}
					})
				}
				wg.Wait()
				b.ReportMetric(float64(b.Elapsed().Microseconds())*float64(callers)/float64(b.N), "us/claim")
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
			})
		}
	}
}
