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

// leaveMethod is the call by which a stopping host sends its final counts to a
// keeper, and by which that keeper forwards them to the leader.
const leaveMethod messenger.Method = "node.leave"

const (
	// finalCountsInterval is the time between two attempts to forward final
	// counts.
	finalCountsInterval = 250 * time.Millisecond
	// finalCountsRetention is how long final counts are kept for forwarding. By
	// then their windows are closed.
	finalCountsRetention = 20 * time.Second
	// maxFinalCounts bounds the number of final counts that one keeper keeps.
	maxFinalCounts = 256
)

// sendFinalCounts sends the final counts of a stopping host to the leader and,
// at the same time, to all keepers. Hosts may be replaced one after the other
// while their failure domain is partitioned from the leader: then any reachable
// keeper takes the counts and forwards them.
func (e *entry) sendFinalCounts() {
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	taken := make(chan bool, 1)
	go func() { taken <- e.sendToAnyKeeper(ctx) }()
	if !e.syncOnce(ctx, true) && !<-taken {
		e.log.Warn("final counts not sent", "keepers", len(e.contacts.list()))
	}
}

// sendToAnyKeeper sends the final counts to all known keepers. It returns true
// as soon as one has taken them, and false if none does.
func (e *entry) sendToAnyKeeper(ctx context.Context) bool {
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

// finalCountsQueue holds the final counts of stopped hosts until the leader has
// taken them.
type finalCountsQueue struct {
	mu   sync.Mutex
	list []finalCounts
}

// finalCounts is the last report of one host.
type finalCounts struct {
	at  time.Time
	req *wire.SyncRequest
}

// add appends the final counts of a host. Beyond maxFinalCounts it drops the
// oldest.
func (l *finalCountsQueue) add(c finalCounts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, c)
	if n := len(l.list) - maxFinalCounts; n > 0 {
		l.list = l.list[n:]
	}
}

// take empties the queue and returns what is younger than finalCountsRetention.
func (l *finalCountsQueue) take(now time.Time) []finalCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []finalCounts
	for _, c := range l.list {
		if now.Sub(c.at) < finalCountsRetention {
			out = append(out, c)
		}
	}
	l.list = nil
	return out
}

// handleLeave takes the final counts of a host. Every keeper merges them into
// its ledger, in case it leads later; one that does not lead also queues them
// for the leader.
func (n *keeperNode) handleLeave(_ context.Context, c *messenger.Call) (proto.Message, error) {
	var req wire.SyncRequest
	if err := c.Decode(&req); err != nil {
		return nil, err
	}
	resp := n.syncStatus()
	now := n.clock.Now()
	n.mu.Lock()
	n.ledger.Leave(now, identifier.Host(req.GetHost()), req.GetRun(), decodeWindows(req.GetWindows()))
	n.hosts.Leave(identifier.Host(req.GetHost()))
	n.mu.Unlock()
	if !resp.Leads {
		n.finalCountsQueue.add(finalCounts{now, &req})
	}
	return resp, nil
}

// runFinalCounts forwards the queued final counts to the leader until ctx ends.
// What the leader does not take is queued again.
func (n *keeperNode) runFinalCounts(ctx context.Context) {
	repeat(ctx, finalCountsInterval, func() {
		for _, c := range n.finalCountsQueue.take(n.clock.Now()) {
			if !n.forwardFinalCounts(ctx, n.syncStatus().GetLeader(), c) {
				n.finalCountsQueue.add(c)
			}
		}
	})
}

// forwardFinalCounts forwards the final counts of one host and reports whether
// the leader took them.
func (n *keeperNode) forwardFinalCounts(ctx context.Context, leader string, c finalCounts) bool {
	if leader == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var resp wire.SyncResponse
	if n.messenger.Call(ctx, n.cfg.PeerAddress(identifier.Host(leader)), leaveMethod, c.req, &resp) != nil || !resp.GetLeads() {
		return false
	}
	n.log.Info("final counts of a stopped host forwarded to the leader", "from", c.req.GetHost(), "after", n.clock.Now().Sub(c.at))
	return true
}
