package keeper

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/replicator"
)

// States of a proposal.
const (
	// stateHeld: only this process has the proposal.
	stateHeld int32 = iota
	// stateSent: the proposal may be in the log or on its way to the leader.
	stateSent
	// stateCanceled: the caller gave up while the proposal was held.
	stateCanceled
)

// proposal is an entry or membership change for which a caller waits.
type proposal struct {
	ctx    context.Context
	data   []byte
	change replicator.Change
	state  atomic.Int32
	// done receives the single outcome. It is buffered, so that sending never
	// blocks.
	done chan<- outcome
	// origin is the replica that forwarded the proposal, or 0 for a local one.
	// originID is the proposal's number there.
	origin   identifier.ReplicaID
	originID uint64
}

// outcome is the result of a proposal.
type outcome struct {
	result []byte
	err    error
}

// read is a read for which a caller waits.
type read struct {
	ctx  context.Context
	done chan<- error
}

// waiters holds the proposals and reads in progress. Only the loop uses it.
type waiters struct {
	nextID uint64
	// submitted holds proposals that were passed to the replicator and have no
	// log position yet.
	submitted map[uint64]*proposal
	// accepted holds proposals by their position in this replica's log.
	accepted map[identifier.LogIndex]acceptedProposal
	// forwarded holds proposals that were forwarded to another replica.
	forwarded map[uint64]*proposal
	// held and heldReads wait for a leader.
	held      []*proposal
	heldReads []*read
	// reads were passed to the replicator. awaitingApply wait until their index
	// is applied.
	reads         map[uint64][]*read
	awaitingApply []indexedReads
}

// acceptedProposal is a proposal and the term of its log position.
type acceptedProposal struct {
	*proposal
	term identifier.Term
}

// indexedReads are reads that wait until index is applied.
type indexedReads struct {
	index identifier.LogIndex
	reads []*read
}

// newWaiters returns empty waiters whose ids start after first. A random first
// keeps an answer to an earlier run of this process from matching a waiter.
func newWaiters(first uint64) waiters {
	return waiters{
		nextID: first, submitted: make(map[uint64]*proposal), accepted: make(map[identifier.LogIndex]acceptedProposal),
		forwarded: make(map[uint64]*proposal), reads: make(map[uint64][]*read),
	}
}

// id returns an unused id.
func (w *waiters) id() uint64 { w.nextID++; return w.nextID }

// markSent marks held proposals as sent and returns those whose callers still
// wait.
func markSent(list []*proposal) []*proposal {
	var out []*proposal
	for _, p := range list {
		if p.state.CompareAndSwap(stateHeld, stateSent) {
			out = append(out, p)
		}
	}
	return out
}

// answer sends the outcome of p to its caller or to the replica that forwarded
// it.
func (k *Keeper) answer(p *proposal, o outcome) {
	if p.origin == 0 {
		p.done <- o
		return
	}
	a := ForwardAnswer{ID: p.originID, Result: o.result}
	if o.err != nil {
		// A refusal can always be encoded as JSON.
		a.Refusal, _ = json.Marshal(refuser.From(o.err))
	}
	k.send(p.origin, a)
}

// completeEntry answers the proposal at the position of e.
func (k *Keeper) completeEntry(e replicator.Entry, result []byte) {
	a, ok := k.waiters.accepted[e.Index]
	if !ok {
		return
	}
	delete(k.waiters.accepted, e.Index)
	if a.term == e.Term {
		k.answer(a.proposal, outcome{result: result})
		return
	}
	k.answer(a.proposal, outcome{err: errSuperseded()})
}

// failThrough answers the proposals at positions up to and including i with an
// unknown outcome, because a snapshot replaced their entries.
func (k *Keeper) failThrough(i identifier.LogIndex) {
	for at, a := range k.waiters.accepted {
		if at <= i {
			delete(k.waiters.accepted, at)
			k.answer(a.proposal, outcome{err: errOutcomeUnknown()})
		}
	}
}

// failAccepted answers all accepted proposals with an unknown outcome.
func (k *Keeper) failAccepted() {
	for at, a := range k.waiters.accepted {
		delete(k.waiters.accepted, at)
		k.answer(a.proposal, outcome{err: errOutcomeUnknown()})
	}
}

// hold keeps a proposal that is certainly in no log until a leader is known.
func (k *Keeper) hold(p *proposal) {
	switch {
	case p.origin != 0:
		k.answer(p, outcome{err: errNoLeader()})
	case len(k.waiters.held) >= k.opts.MaxWaiting:
		k.answer(p, outcome{err: errQueueFull()})
	default:
		p.state.CompareAndSwap(stateSent, stateHeld)
		k.waiters.held = append(k.waiters.held, p)
	}
}

// holdReads keeps reads until a leader is known.
func (k *Keeper) holdReads(list []*read) {
	if len(k.waiters.heldReads)+len(list) <= k.opts.MaxWaiting {
		k.waiters.heldReads = append(k.waiters.heldReads, list...)
		return
	}
	for _, r := range list {
		r.done <- errQueueFull()
	}
}

// holdPendingReads holds the reads that were submitted under the previous
// leader for a retry.
func (k *Keeper) holdPendingReads() {
	for id, list := range k.waiters.reads {
		delete(k.waiters.reads, id)
		k.holdReads(list)
	}
}

// failForwarded answers the proposals that were forwarded to the previous
// leader with an unknown outcome.
func (k *Keeper) failForwarded() {
	for id, p := range k.waiters.forwarded {
		delete(k.waiters.forwarded, id)
		k.answer(p, outcome{err: errOutcomeUnknown()})
	}
}

// removeCanceled removes forwarded and held proposals and reads whose callers
// no longer wait.
func (k *Keeper) removeCanceled() {
	w := &k.waiters
	for id, p := range w.forwarded {
		if p.ctx.Err() != nil {
			delete(w.forwarded, id)
		}
	}
	for id, list := range w.reads {
		if list = liveReads(list); len(list) == 0 {
			delete(w.reads, id)
		}
	}
	w.heldReads = liveReads(w.heldReads)
	var live []*proposal
	for _, p := range w.held {
		if p.state.Load() == stateHeld {
			live = append(live, p)
		}
	}
	w.held = live
}

// liveReads returns the reads whose callers still wait.
func liveReads(list []*read) []*read {
	var live []*read
	for _, r := range list {
		if r.ctx.Err() == nil {
			live = append(live, r)
		}
	}
	return live
}

// completeReads answers the reads whose index is applied.
func (k *Keeper) completeReads() {
	var waiting []indexedReads
	for _, a := range k.waiters.awaitingApply {
		if a.index > k.appliedIndex {
			waiting = append(waiting, a)
			continue
		}
		k.publish() // the reader checks the lease in the status
		for _, r := range a.reads {
			r.done <- nil
		}
	}
	k.waiters.awaitingApply = waiting
}
