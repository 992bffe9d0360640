package keeper

import (
	"context"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
)

// run is the one goroutine that drives the replica.
func (k *Keeper) run(ctx context.Context) {
	defer k.shutDown()
	t := time.NewTicker(k.opts.tick())
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			k.onTick()
		case e := <-k.received:
			k.receive(e)
		case f := <-k.done:
			k.finish(f)
		case p := <-k.proposalsIn():
			k.propose(p)
		case r := <-k.readings:
			k.read(r)
		}
		k.compact()
		k.flush()
		k.publish()
	}
}

// proposalsIn returns the channel of proposals. Without group commit it is nil
// while the disk is busy.
func (k *Keeper) proposalsIn() <-chan *proposal {
	if k.opts.singleCommit && (k.busy || len(k.pending.effects) > 0) {
		return nil
	}
	return k.proposals
}

// shutDown ends the disk goroutine, gives up the lead and frees everyone who
// waits.
func (k *Keeper) shutDown() {
	close(k.jobs)
	for f := range k.done {
		k.finish(f)
	}
	k.step(replicator.StepAside{}) // a closed replica leads nothing
	k.publish()
	close(k.ended)
}

// publish makes the status visible to other goroutines.
func (k *Keeper) publish() {
	s := &Status{Status: k.replica.Status(), Failure: k.failure, LeaseUntil: k.replica.LeaseUntil()}
	k.status.Store(s)
	k.term.Set(float64(s.Term))
	k.commit.Set(float64(s.Commit))
	k.leads.Set(0)
	if !s.LeaseUntil.IsZero() {
		k.leads.Set(1)
	}
}

// onTick lets the time act.
func (k *Keeper) onTick() {
	k.step(replicator.Tick{})
	k.sweep()
	k.tickFounding()
}

// propose takes p and as many others as wait, so that they share a sync.
func (k *Keeper) propose(p *proposal) {
	list := []*proposal{p}
	for len(list) < maxBatch && !k.opts.singleCommit {
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

// submit proposes what it can: at this replica if it leads, else at the
// leader, or later if none is known.
func (k *Keeper) submit(list []*proposal) {
	if k.role.Leader == 0 && k.failure == nil {
		for _, p := range list {
			k.hold(p)
		}
		return
	}
	if k.role.Role == replicator.Leader || k.failure != nil {
		k.proposeHere(take(list))
		return
	}
	for _, p := range take(list) {
		k.forward(p)
	}
}

// proposeHere gives proposals and changes to the replica.
func (k *Keeper) proposeHere(list []*proposal) {
	var batch replicator.Propose
	for _, p := range list {
		id := k.waiters.id()
		k.waiters.numbered[id] = p
		if p.change != nil {
			k.step(replicator.ChangeMembers{ID: id, Change: p.change})
			continue
		}
		batch.Proposals = append(batch.Proposals, replicator.Proposal{ID: id, Data: p.data})
	}
	if len(batch.Proposals) > 0 {
		k.pending.proposals += len(batch.Proposals)
		k.step(batch)
	}
}

// forward passes p on to the leader. What was forwarded once is not forwarded
// again.
func (k *Keeper) forward(p *proposal) {
	if p.asker != 0 {
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

// read takes r and as many others as wait, so that they share a round.
func (k *Keeper) read(r *read) {
	list := []*read{r}
	for len(list) < maxBatch {
		select {
		case r := <-k.readings:
			list = append(list, r)
			continue
		default:
		}
		break
	}
	k.submitReads(list)
}

// submitReads asks for one read index for all of list.
func (k *Keeper) submitReads(list []*read) {
	if k.role.Leader == 0 && k.failure == nil {
		k.holdReads(list)
		return
	}
	id := k.waiters.id()
	k.waiters.reads[id] = list
	k.step(replicator.Read{ID: id})
}

// receive handles a message.
func (k *Keeper) receive(e Envelope) {
	if _, ok := e.Payload.(Announce); !ok && e.To != k.id {
		return // meant for the replica that had this folder's place before
	}
	k.learnHost(e.From, e.FromHost)
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

// maxHosts bounds the replicas whose hosts are remembered.
const maxHosts = 4 * replicator.MaxMembers

// learnHost remembers where a replica runs.
func (k *Keeper) learnHost(id identifier.ReplicaID, h identifier.Host) {
	if _, ok := k.hosts[id]; !ok && len(k.hosts) >= maxHosts {
		clear(k.hosts)
	}
	k.hosts[id] = h
}

// send hands a message for a replica to the transport.
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
	if k.failure != nil || k.busy && k.pending.seq > 0 || !k.isSnapshotDue() {
		return
	}
	data := k.opts.StateMachine.Snapshot()
	k.snapshotBytes, k.floor = int64(len(data)), k.size
	k.step(replicator.Compact{Data: data})
}

// isSnapshotDue reports whether the log has reached a limit of the options and
// is as large as the last snapshot. The second part keeps what is written for
// snapshots below what is written for entries, however large the state is.
func (k *Keeper) isSnapshotDue() bool {
	n, grown := k.replica.UnsnapshottedEntries(), k.size-k.floor
	if n == 0 || grown < k.snapshotBytes {
		return false
	}
	return n >= k.opts.SnapshotEntries || grown >= k.opts.SnapshotBytes
}
