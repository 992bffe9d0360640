package keeper

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"cyclamenhub.org/refuser"
	"cyclamenhub.org/replicator"
)

// step runs one event and performs its effects. Events that occur meanwhile are
// queued, so that effects are performed in the order of their events.
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

// perform performs one effect or queues it for the disk goroutine.
func (k *Keeper) perform(f replicator.Effect) {
	switch f := f.(type) {
	case replicator.SaveState, replicator.SaveEntries, replicator.SaveCheckpoint, replicator.SendSnapshot:
		k.queueForDisk(f)
	case replicator.Send:
		if f.AfterSync {
			k.queueForDisk(f)
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

// apply applies committed entries to the state machine and answers their
// proposers.
func (k *Keeper) apply(entries []replicator.Entry) {
	began := k.now()
	var results [][]byte
	if commands := commandsOf(entries); len(commands) > 0 {
		results = k.opts.StateMachine.Apply(commands...)
	}
	k.appliedIndex = entries[len(entries)-1].Index
	if slices.ContainsFunc(entries, func(e replicator.Entry) bool { return e.Kind == replicator.Membership }) {
		k.publish() // the caller of the change must see it in the status
	}
	for _, e := range entries {
		var result []byte
		if e.Kind == replicator.Command {
			result, results = results[0], results[1:]
		}
		k.completeEntry(e, result)
	}
	k.entriesApplied.Add(len(entries))
	k.logCaughtUp(entries, k.now().Sub(began))
	k.completeReads()
}

// commandsOf returns the data of the commands among entries.
func commandsOf(entries []replicator.Entry) [][]byte {
	var commands [][]byte
	for _, e := range entries {
		if e.Kind == replicator.Command {
			commands = append(commands, e.Data)
		}
	}
	return commands
}

// logCaughtUp logs that a new leader has applied everything that earlier leaders
// committed: entries holds the Empty entry with which its term begins.
func (k *Keeper) logCaughtUp(entries []replicator.Entry, took time.Duration) {
	isFirstOfTerm := func(e replicator.Entry) bool { return e.Kind == replicator.Empty && e.Term == k.role.Term }
	if k.role.Role != replicator.Leader || !slices.ContainsFunc(entries, isFirstOfTerm) {
		return
	}
	k.opts.Log.Info("leader caught up", "group", k.opts.Group, "replica", k.id, "term", k.role.Term,
		"entries", len(entries), "applied", entries[len(entries)-1].Index, "took", took)
}

// restore replaces the state of the state machine by a snapshot from the
// leader.
func (k *Keeper) restore(s replicator.Snapshot) {
	if err := k.opts.StateMachine.Restore(s.Data); err != nil {
		k.haltReplica(err)
		return
	}
	k.appliedIndex = s.Index
	k.failThrough(s.Index)
	k.completeReads()
}

// onAccepted records the log position of a proposal.
func (k *Keeper) onAccepted(f replicator.Accepted) {
	p, ok := k.waiters.submitted[f.ID]
	if !ok {
		return
	}
	delete(k.waiters.submitted, f.ID)
	if old, ok := k.waiters.accepted[f.Index]; ok {
		k.answer(old.proposal, outcome{err: errSuperseded()})
	}
	k.waiters.accepted[f.Index] = acceptedProposal{p, f.Term}
}

// onRefused answers a proposal or reads that the replicator refused. If the
// replica is not the leader, it holds them for a retry instead.
func (k *Keeper) onRefused(f replicator.Refused) {
	list := k.waiters.reads[f.ID]
	delete(k.waiters.reads, f.ID)
	p := k.waiters.submitted[f.ID]
	delete(k.waiters.submitted, f.ID)
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

// onReadReady completes reads once their index is applied.
func (k *Keeper) onReadReady(f replicator.ReadReady) {
	list, ok := k.waiters.reads[f.ID]
	if !ok {
		return
	}
	delete(k.waiters.reads, f.ID)
	k.waiters.awaitingApply = append(k.waiters.awaitingApply, indexedReads{f.Index, list})
	k.completeReads()
}

// onRoleChanged records the leader and submits the proposals and reads that wait
// for one.
func (k *Keeper) onRoleChanged(f replicator.RoleChanged) {
	if f.Leader != k.role.Leader {
		k.failForwarded()
		k.holdPendingReads()
	}
	k.role = f
	k.roleChanges.Inc()
	if f.Role == replicator.Leader || f.Leader != 0 {
		k.opts.Log.Info("leader known", "group", k.opts.Group, "replica", k.id, "role", f.Role.String(), "term", f.Term, "leader", f.Leader)
	}
	if f.Leader != 0 {
		k.submitHeld()
	}
}

// submitHeld submits the proposals and reads that wait for a leader.
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

// onForward proposes an entry that another replica forwarded.
func (k *Keeper) onForward(e Envelope, f Forward) {
	p := &proposal{data: f.Data, change: f.Change, origin: e.From, originID: f.ID}
	p.state.Store(stateSent)
	switch {
	case k.role.Role != replicator.Leader:
		k.answer(p, outcome{err: errNoLeader()})
	case len(k.waiters.accepted) >= k.opts.MaxWaiting:
		k.answer(p, outcome{err: errQueueFull()})
	default:
		k.proposeLocally([]*proposal{p})
	}
}

// onForwardAnswer answers a forwarded proposal with the leader's outcome. It
// holds the proposal for a retry if the leader did not run it for lack of a
// majority.
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
		k.answer(p, outcome{err: errOutcomeUnknown()})
		return
	}
	if f.IsNotRun() && f.Kind() == refuser.NoMajority {
		k.hold(p)
		return
	}
	k.answer(p, outcome{err: &f})
}
