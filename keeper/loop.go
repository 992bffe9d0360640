package keeper

import (
	"context"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
)

// run is the loop: the only goroutine that drives the replica.
func (k *Keeper) run(ctx context.Context) {
	defer k.shutDown()
	t := time.NewTicker(k.opts.tickInterval())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			k.onTick()
		case e := <-k.received:
			k.receive(e)
		case f := <-k.jobResults:
			k.onJobDone(f)
		case p := <-k.proposalChannel():
			k.propose(p)
		case r := <-k.reads:
			k.read(r)
		}
		k.compact()
		k.flush()
		k.publish()
	}
}

// proposalChannel returns the channel of proposals. Without group commit it
// returns nil while the disk is busy.
func (k *Keeper) proposalChannel() <-chan *proposal {
	if k.opts.disableGroupCommit && (k.diskBusy || len(k.nextJob.effects) > 0) {
		return nil
	}
	return k.proposals
}

// shutDown stops the disk goroutine, ends this replica's leadership and
// unblocks all waiting callers.
func (k *Keeper) shutDown() {
	close(k.jobs)
	for f := range k.jobResults {
		k.onJobDone(f)
	}
	k.step(replicator.Halt{}) // a closed replica must not remain the leader
	k.publish()
	close(k.loopDone)
}

// publish makes the status visible to other goroutines.
func (k *Keeper) publish() {
	s := &Status{Status: k.replica.Status(), Failure: k.failure, LeaseUntil: k.replica.LeaseUntil(k.appliedIndex)}
	k.status.Store(s)
	k.term.Set(float64(s.Term))
	k.commit.Set(float64(s.Commit))
	k.applied.Set(float64(k.appliedIndex))
	k.leading.Set(0)
	if !s.LeaseUntil.IsZero() {
		k.leading.Set(1)
	}
}

// onTick performs the periodic work.
func (k *Keeper) onTick() {
	k.step(replicator.Tick{})
	k.removeCanceled()
	k.tickMembership()
}

// propose submits p together with the other waiting proposals, so that they
// share a sync.
func (k *Keeper) propose(p *proposal) {
	list := []*proposal{p}
	for len(list) < maxBatch && !k.opts.disableGroupCommit {
		select {
		case p := <-k.proposals:
			list = append(list, p)
			continue
		default:
		}
		break
	}
	k.submit(list)
}

// submit proposes the entries of list at this replica if it is the leader, and
// otherwise forwards them to the leader. Without a known leader it holds them.
func (k *Keeper) submit(list []*proposal) {
	if k.role.Leader == 0 && k.failure == nil {
		for _, p := range list {
			k.hold(p)
		}
		return
	}
	if k.role.Role == replicator.Leader || k.failure != nil {
		k.proposeLocally(markSent(list))
		return
	}
	for _, p := range markSent(list) {
		k.forward(p)
	}
}

// proposeLocally passes proposals and membership changes to this replica.
func (k *Keeper) proposeLocally(list []*proposal) {
	var batch replicator.Propose
	for _, p := range list {
		id := k.waiters.id()
		k.waiters.submitted[id] = p
		if p.change != nil {
			k.step(replicator.ChangeMembers{ID: id, Change: p.change})
			continue
		}
		batch.Proposals = append(batch.Proposals, replicator.Proposal{ID: id, Data: p.data})
	}
	if len(batch.Proposals) > 0 {
		k.nextJob.proposals += len(batch.Proposals)
		k.step(batch)
	}
}

// forward forwards p to the leader. A proposal that was already forwarded to
// this replica is not forwarded again.
func (k *Keeper) forward(p *proposal) {
	if p.origin != 0 {
		k.answer(p, outcome{err: errNoLeader()})
		return
	}
	if len(k.waiters.forwarded) >= k.opts.MaxWaiting {
		k.answer(p, outcome{err: errQueueFull()})
		return
	}
	id := k.waiters.id()
	k.waiters.forwarded[id] = p
	k.send(k.role.Leader, Forward{ID: id, Data: p.data, Change: p.change})
}

// read submits r together with the other waiting reads, so that they share one
// quorum round.
func (k *Keeper) read(r *read) {
	list := []*read{r}
	for len(list) < maxBatch {
		select {
		case r := <-k.reads:
			list = append(list, r)
			continue
		default:
		}
		break
	}
	k.submitReads(list)
}

// submitReads requests one read index for all of list.
func (k *Keeper) submitReads(list []*read) {
	if k.role.Leader == 0 && k.failure == nil {
		k.holdReads(list)
		return
	}
	id := k.waiters.id()
	k.waiters.reads[id] = list
	k.step(replicator.Read{ID: id})
}

// receive handles a message from another replica.
func (k *Keeper) receive(e Envelope) {
	if _, ok := e.Payload.(Announce); !ok && e.To != k.id {
		return // addressed to the replica that used this folder before
	}
	k.recordHost(e.From, e.FromHost)
	switch p := e.Payload.(type) {
	case Replication:
		k.step(replicator.Receive{From: e.From, Message: p.Message})
	case Announce:
		k.onAnnounce(e, p)
	case Forward:
		k.onForward(e, p)
	case ForwardAnswer:
		k.onForwardAnswer(p)
	}
}

// maxHosts bounds the number of replicas whose hosts are recorded.
const maxHosts = 4 * replicator.MaxMembers

// recordHost records the host on which a replica runs.
func (k *Keeper) recordHost(id identifier.ReplicaID, h identifier.Host) {
	if _, ok := k.hosts[id]; !ok && len(k.hosts) >= maxHosts {
		clear(k.hosts)
	}
	k.hosts[id] = h
}

// send passes a message for a replica to the transport.
func (k *Keeper) send(to identifier.ReplicaID, p Payload) {
	h, ok := k.hosts[to]
	if m, isMember := k.replica.Members().Find(to); isMember {
		h, ok = m.Host, true
	}
	if ok {
		k.opts.Transport.Send(h, Envelope{Group: k.opts.Group, From: k.id, To: to, FromHost: k.opts.Host, Payload: p})
	}
}

// compact takes a snapshot once the log has grown enough.
func (k *Keeper) compact() {
	if k.failure != nil || k.diskBusy && k.nextJob.seq > 0 || !k.isSnapshotDue() {
		return
	}
	data := k.opts.StateMachine.Snapshot()
	k.snapshotBytes, k.sizeAtSnapshot = int64(len(data)), k.logBytes
	k.step(replicator.Compact{Data: data})
}

// isSnapshotDue reports whether the log has reached a limit of the options and
// has grown by at least the size of the last snapshot. The second condition
// keeps the bytes written for snapshots below those written for entries,
// whatever the size of the state.
func (k *Keeper) isSnapshotDue() bool {
	n, grown := k.replica.UnsnapshottedEntries(), k.logBytes-k.sizeAtSnapshot
	if n == 0 || grown < k.snapshotBytes {
		return false
	}
	return n >= k.opts.SnapshotEntries || grown >= k.opts.SnapshotBytes
}
