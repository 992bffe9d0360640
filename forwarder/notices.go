package forwarder

import (
	"maps"
	"sync"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

// noticeMemory is how long it is remembered that a server leaves which is not listed any more:
// longer than the calls that it had.
const noticeMemory = time.Minute

// notice is what is known of a run of a server that leaves.
type notice struct {
	// at is when this host first knew of it.
	at time.Time
	// listedAt is when the run was last listed, and isListed is whether the list says that it
	// leaves.
	listedAt time.Time
	isListed bool
	// goneAt is when it is taken away, or zero if no time is known, and leavesIn is what the
	// list last said of it.
	goneAt   time.Time
	leavesIn time.Duration
}

// newNotice returns the notice of a run that is known to leave since a time.
func newNotice(at time.Time) notice { return notice{at: at, listedAt: at} }

// list records what a listing of the given time says of the run. A number that does not change
// is no new time, as the list may not count down.
func (n *notice) list(in *describer.Instance, at time.Time) {
	n.listedAt, n.isListed = at, in.Draining
	if in.LeavesIn > 0 && in.LeavesIn != n.leavesIn {
		n.goneAt, n.leavesIn = at.Add(in.LeavesIn), in.LeavesIn
	}
}

// notices are the runs of servers that leave. What is known of a run outlasts its entry in the
// list. The zero value is empty. It is safe for concurrent use.
type notices struct {
	mu   sync.RWMutex
	runs map[identifier.ServerRun]notice
}

// of returns the notice of a run.
func (n *notices) of(run identifier.ServerRun) (notice, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	known, ok := n.runs[run]
	return known, ok
}

// heard records whether an answer of a run said that it leaves.
func (n *notices) heard(run identifier.ServerRun, leaves bool, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch known, ok := n.runs[run]; {
	case leaves && !ok:
		n.add(run, newNotice(now))
	case !leaves && ok && !known.isListed:
		delete(n.runs, run)
	}
}

// update records which servers of a listing leave, and forgets those that were not listed for
// noticeMemory.
func (n *notices) update(fl *fleet) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, in := range fl.servers {
		run := in.Run()
		known, ok := n.runs[run]
		if !ok && !in.Draining {
			continue
		}
		if !ok {
			known = newNotice(fl.at)
		}
		known.list(&in, fl.at)
		n.add(run, known)
	}
	maps.DeleteFunc(n.runs, func(_ identifier.ServerRun, known notice) bool { return fl.at.Sub(known.listedAt) > noticeMemory })
}

// add adds a run. The caller holds mu.
func (n *notices) add(run identifier.ServerRun, added notice) {
	if n.runs == nil {
		n.runs = make(map[identifier.ServerRun]notice)
	}
	n.runs[run] = added
}
