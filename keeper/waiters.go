package keeper

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/replicator"
)

// The states of a proposal.
const (
	// held: it is in this process alone.
	held int32 = iota
	// sent: it may be in the log, or on its way to the leader.
	sent
	// given up: its caller left while it was held.
	givenUp
)

// proposal is an entry or change of members that somebody waits for.
type proposal struct {
	ctx    context.Context
	data   []byte
	change replicator.Change
	state  atomic.Int32
	// done gets the one outcome and never blocks.
	done chan<- outcome
	// asker is the host and replica that forwarded it, and id its number there.
	asker   identifier.ReplicaID
	askerID uint64
}

// outcome is the result of a proposal.
type outcome struct {
	result []byte
	err    error
}

// read is a read that somebody waits for.
type read struct {
	ctx  context.Context
	done chan<- error
}

// waiters are the proposals and reads under way. Only the loop touches them.
type waiters struct {
	nextID uint64
	// numbered were given to the replicator and got no position yet.
	numbered map[uint64]*proposal
	// accepted have a position in this replica's log.
	accepted map[identifier.LogIndex]acceptance
	// forwarded went to another replica.
	forwarded map[uint64]*proposal
	// held wait for a leader.
	held      []*proposal
	heldReads []*read
	// reads were given to the replicator, and applying wait for an index.
	reads    map[uint64][]*read
	applying []applying
}

// acceptance is a proposal and the term of its position.
type acceptance struct {
	*proposal
	term identifier.Term
}

// applying are reads that wait until index is applied.
type applying struct {
	index identifier.LogIndex
	reads []*read
}

// newWaiters returns empty waiters that number from first, so that an answer
// to an earlier life of this process meets no waiter.
func newWaiters(first uint64) waiters {
	return waiters{
		nextID: first, numbered: make(map[uint64]*proposal), accepted: make(map[identifier.LogIndex]acceptance),
		forwarded: make(map[uint64]*proposal), reads: make(map[uint64][]*read),
	}
}

// id returns a number that was not used before.
func (w *waiters) id() uint64 { w.nextID++; return w.nextID }

// take marks held proposals as sent and returns those whose callers still wait.
func take(list []*proposal) []*proposal {
	var out []*proposal
	for _, p := range list {
		if p.state.CompareAndSwap(held, sent) {
			out = append(out, p)
		}
	}
	return out
}

// answer gives p its outcome.
func (k *Keeper) answer(p *proposal, o outcome) {
	if p.asker == 0 {
		p.done <- o
		return
	}
	a := ForwardAnswer{ID: p.askerID, Result: o.result}
	if o.err != nil {
		// The JSON form of a refusal can always be written.
		a.Refusal, _ = json.Marshal(refuser.From(o.err))
	}
	k.send(p.asker, a)
}

// resolve gives the proposal at e's position its outcome.
func (k *Keeper) resolve(e replicator.Entry, result []byte) {
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

// failBefore gives proposals at and before i, whose entries a snapshot
// replaced, an unknown outcome.
func (k *Keeper) failBefore(i identifier.LogIndex) {
	for at, a := range k.waiters.accepted {
		if at <= i {
			delete(k.waiters.accepted, at)
			k.answer(a.proposal, outcome{err: errUnknown()})
		}
	}
}

// failAccepted gives all accepted proposals an unknown outcome.
func (k *Keeper) failAccepted() {
	for at, a := range k.waiters.accepted {
		delete(k.waiters.accepted, at)
		k.answer(a.proposal, outcome{err: errUnknown()})
	}
}

// hold keeps a proposal that is surely in no log until a leader is known.
func (k *Keeper) hold(p *proposal) {
	switch {
	case p.asker != 0:
		k.answer(p, outcome{err: errNoLeader()})
	case len(k.waiters.held) >= k.opts.MaxWaiting:
		k.answer(p, outcome{err: errQueueFull()})
	default:
		p.state.CompareAndSwap(sent, held)
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

// holdForwardedReads takes back the reads that a former leader was asked for.
func (k *Keeper) holdForwardedReads() {
	for id, list := range k.waiters.reads {
		delete(k.waiters.reads, id)
		k.holdReads(list)
	}
}

// failForwarded gives what went to a former leader an unknown outcome.
func (k *Keeper) failForwarded() {
	for id, p := range k.waiters.forwarded {
		delete(k.waiters.forwarded, id)
		k.answer(p, outcome{err: errUnknown()})
	}
}

// sweep forgets forwarded proposals and held waiters whose callers left.
func (k *Keeper) sweep() {
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
		if p.state.Load() == held {
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

// releaseReads answers the reads whose index is applied.
func (k *Keeper) releaseReads() {
	var waiting []applying
	for _, a := range k.waiters.applying {
		if a.index > k.replica.Commit() {
			waiting = append(waiting, a)
			continue
		}
		k.publish() // a reader looks at the lease
		for _, r := range a.reads {
			r.done <- nil
		}
	}
	k.waiters.applying = waiting
}
