package keeper

import (
	"encoding/json"
	"errors"

	"cyclamenhub.org/refuser"
	"cyclamenhub.org/replicator"
)

// step runs one event and performs its effects. An event that comes up in
// between waits, so that effects are performed in the order of their steps.
func (k *Keeper) step(e replicator.Event) {
	k.events = append(k.events, e)
	if len(k.events) > 1 {
		return
	}
	for len(k.events) > 0 {
		for _, f := range k.replica.Step(k.now(), k.events[0]) {
			k.perform(f)
		}
		k.events = k.events[1:]
	}
	k.events = nil
}

// perform carries out one effect or queues it for the disk.
func (k *Keeper) perform(f replicator.Effect) {
	switch f := f.(type) {
	case replicator.SaveState, replicator.SaveEntries, replicator.SaveCheckpoint, replicator.SendSnapshot:
		k.queue(f)
	case replicator.Send:
		if f.Promise {
			k.queue(f)
			return
		}
		k.send(f.To, Replication{f.Message})
	case replicator.Apply:
		k.apply(f.Entries)
	case replicator.Restore:
		k.restore(f.Snapshot)
	case replicator.Accepted:
		k.onAccepted(f)
	case replicator.Refused:
		k.onRefused(f)
	case replicator.ReadReady:
		k.onReadReady(f)
	case replicator.RoleChanged:
		k.onRoleChanged(f)
	}
}

// apply hands committed entries to the state machine and answers proposers.
func (k *Keeper) apply(entries []replicator.Entry) {
	for _, e := range entries {
		var result []byte
		switch e.Kind {
		case replicator.Command:
			result = k.opts.StateMachine.Apply(e.Index, e.Data)
		case replicator.Membership:
			k.publish() // who made the change finds it in the status
		case replicator.Empty:
		}
		k.resolve(e, result)
	}
	k.applied.Add(len(entries))
	k.releaseReads()
}

// restore replaces the state machine's state by a leader's snapshot.
func (k *Keeper) restore(s replicator.Snapshot) {
	if err := k.opts.StateMachine.Restore(s.Data); err != nil {
		k.stepAside(err)
		return
	}
	k.failBefore(s.Index)
	k.releaseReads()
}

// onAccepted notes where a proposal stands.
func (k *Keeper) onAccepted(f replicator.Accepted) {
	p, ok := k.waiters.numbered[f.ID]
	if !ok {
		return
	}
	delete(k.waiters.numbered, f.ID)
	if old, ok := k.waiters.accepted[f.Index]; ok {
		k.answer(old.proposal, outcome{err: errSuperseded()})
	}
	k.waiters.accepted[f.Index] = acceptance{p, f.Term}
}

// onRefused answers a proposal or reads that were not taken.
func (k *Keeper) onRefused(f replicator.Refused) {
	list := k.waiters.reads[f.ID]
	delete(k.waiters.reads, f.ID)
	p := k.waiters.numbered[f.ID]
	delete(k.waiters.numbered, f.ID)
	if errors.As(f.Err, new(*replicator.NotLeaderError)) {
		k.holdReads(list)
		if p != nil {
			k.hold(p)
		}
		return
	}
	for _, r := range list {
		r.done <- refusalOf(f.Err)
	}
	if p != nil {
		k.answer(p, outcome{err: refusalOf(f.Err)})
	}
}

// onReadReady lets reads go once their index is applied.
func (k *Keeper) onReadReady(f replicator.ReadReady) {
	list, ok := k.waiters.reads[f.ID]
	if !ok {
		return
	}
	delete(k.waiters.reads, f.ID)
	k.waiters.applying = append(k.waiters.applying, applying{f.Index, list})
	k.releaseReads()
}

// onRoleChanged notes the leader and proposes what waited for one.
func (k *Keeper) onRoleChanged(f replicator.RoleChanged) {
	if f.Leader != k.role.Leader {
		k.failForwarded()
		k.holdForwardedReads()
	}
	k.role = f
	k.changes.Inc()
	if f.Role == replicator.Leader || f.Leader != 0 {
		k.opts.Log.Info("leader known", "group", k.opts.Group, "replica", k.id, "role", f.Role.String(), "term", f.Term, "leader", f.Leader)
	}
	if f.Leader != 0 {
		k.submitHeld()
	}
}

// submitHeld submits what waited for a leader.
func (k *Keeper) submitHeld() {
	proposals, reads := k.waiters.held, k.waiters.heldReads
	k.waiters.held, k.waiters.heldReads = nil, nil
	if len(proposals) > 0 {
		k.submit(proposals)
	}
	if len(reads) > 0 {
		k.submitReads(reads)
	}
}

// onForward proposes another replica's entry.
func (k *Keeper) onForward(e Envelope, f Forward) {
	p := &proposal{data: f.Data, change: f.Change, asker: e.From, askerID: f.ID}
	p.state.Store(sent)
	switch {
	case k.role.Role != replicator.Leader:
		k.answer(p, outcome{err: errNoLeader()})
	case len(k.waiters.accepted) >= k.opts.MaxWaiting:
		k.answer(p, outcome{err: errQueueFull()})
	default:
		k.proposeHere([]*proposal{p})
	}
}

// onForwardAnswer answers a proposal that the leader has resolved.
func (k *Keeper) onForwardAnswer(a ForwardAnswer) {
	p, ok := k.waiters.forwarded[a.ID]
	if !ok {
		return
	}
	delete(k.waiters.forwarded, a.ID)
	if len(a.Refusal) == 0 {
		k.answer(p, outcome{result: a.Result})
		return
	}
	var f refuser.Refusal
	if err := json.Unmarshal(a.Refusal, &f); err != nil {
		k.answer(p, outcome{err: errUnknown()})
		return
	}
	if f.IsNotRun() && f.Kind() == refuser.NoMajority {
		k.hold(p)
		return
	}
	k.answer(p, outcome{err: &f})
}
