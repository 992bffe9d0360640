package node

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/messenger"
)

// leaveMethod is the call by which a host that stops leaves its last counts with
// a keeper, and by which that keeper passes them on.
const leaveMethod messenger.Method = "node.leave"

const (
	// passOnInterval is the time between two tries to pass counts on.
	passOnInterval = 250 * time.Millisecond
	// leftFor is how long counts are passed on: by then the windows that they
	// belong to are closed.
	leftFor = 20 * time.Second
	// maxLeft bounds what one keeper holds of hosts that stopped.
	maxLeft = 256
)

// handOver tells the leader the last counts. The load pattern is hosts that are
// replaced one after the other while their failure domain is cut off: where the
// leader is out of reach, the counts are left with any keeper that is not.
func (e *entry) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	left := make(chan bool, 1)
	go func() { left <- e.leave(ctx) }()
	if !e.syncOnce(ctx) && !<-left {
		e.log.Warn("the last counts were not handed over", "keepers", len(e.contacts.list()))
	}
}

// leave leaves the last counts with the keepers and reports, as soon as one has
// taken them, that one has.
func (e *entry) leave(ctx context.Context) bool {
	req := e.request()
	req.Loads = nil
	hosts := e.contacts.list()
	taken := make(chan bool, len(hosts))
	for _, h := range hosts {
		go func() {
			var resp wire.SyncResponse
			taken <- e.messenger.Call(ctx, e.cfg.PeerAddress(h), leaveMethod, req, &resp) == nil
		}()
	}
	for range hosts {
		if <-taken {
			return true
		}
	}
	return false
}

// leftCounts are the counts of hosts that stopped, on their way to the leader.
type leftCounts struct {
	mu   sync.Mutex
	list []leftCount
}

// leftCount is the last word of one host.
type leftCount struct {
	at  time.Time
	req *wire.SyncRequest
}

// add keeps a host's last word, the latest ones up to a bound.
func (l *leftCounts) add(c leftCount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, c)
	if n := len(l.list) - maxLeft; n > 0 {
		l.list = l.list[n:]
	}
}

// take returns what is to be passed on at a time and keeps nothing.
func (l *leftCounts) take(now time.Time) []leftCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []leftCount
	for _, c := range l.list {
		if now.Sub(c.at) < leftFor {
			out = append(out, c)
		}
	}
	l.list = nil
	return out
}

// handleLeave takes the last counts of a host. They may be needed here, should
// this keeper lead later; one that does not lead passes them on as well.
func (n *keeperNode) handleLeave(_ context.Context, c *messenger.Call) (proto.Message, error) {
	var req wire.SyncRequest
	if err := c.Decode(&req); err != nil {
		return nil, err
	}
	resp := n.word()
	now := n.clock.Now()
	n.mu.Lock()
	n.ledger.Leave(now, identifier.Host(req.GetHost()), req.GetRun(), decodeWindows(req.GetWindows()))
	n.mu.Unlock()
	if !resp.Leads {
		n.left.add(leftCount{now, &req})
	}
	return resp, nil
}

// passOn passes the counts of stopped hosts on to the leader until ctx ends, and
// keeps what it does not take.
func (n *keeperNode) passOn(ctx context.Context) {
	repeat(ctx, passOnInterval, func() {
		for _, c := range n.left.take(n.clock.Now()) {
			if !n.passOnTo(ctx, n.word().GetLeader(), c) {
				n.left.add(c)
			}
		}
	})
}

// passOnTo passes one host's counts on and reports whether the leader took them.
func (n *keeperNode) passOnTo(ctx context.Context, leader string, c leftCount) bool {
	if leader == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var resp wire.SyncResponse
	if n.messenger.Call(ctx, n.cfg.PeerAddress(identifier.Host(leader)), leaveMethod, c.req, &resp) != nil || !resp.GetLeads() {
		return false
	}
	n.log.Info("counts of a stopped host passed on", "from", c.req.GetHost(), "after", n.clock.Now().Sub(c.at))
	return true
}
