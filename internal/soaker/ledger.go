package soaker

import (
	"fmt"
	"slices"
	"sync"

	"cyclamenhub.org/identifier"
)

// maxBroken bounds the broken promises that a report lists.
const maxBroken = 50

// ledger holds what callers and the operator saw, and which promises were broken.
// It is safe for concurrent use.
type ledger struct {
	mu       sync.Mutex
	outcomes map[string]int
	once     []identifier.RequestID // may run at most once
	notRun   []identifier.RequestID // are told not to have run
	acked    identifier.Revision
	stored   int
	broken   []string
}

// breaks notes a broken promise.
func (l *ledger) breaks(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.broken) < maxBroken {
		l.broken = append(l.broken, fmt.Sprintf(format, args...))
	}
}

// begin notes a call.
func (l *ledger) begin(id identifier.RequestID, mayRepeat bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !mayRepeat {
		l.once = append(l.once, id)
	}
}

// end notes the outcome of a call.
func (l *ledger) end(id identifier.RequestID, outcome string, notRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outcomes == nil {
		l.outcomes = make(map[string]int)
	}
	l.outcomes[outcome]++
	if notRun {
		l.notRun = append(l.notRun, id)
	}
}

// acknowledged notes that a document was acknowledged.
func (l *ledger) acknowledged(r identifier.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked = max(l.acked, r)
	l.stored++
}

// newest returns the newest revision that was acknowledged.
func (l *ledger) newest() identifier.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.acked
}

// checkRuns compares what callers were told with what ran.
func (l *ledger) checkRuns(runs map[identifier.RequestID]int) {
	l.mu.Lock()
	once, notRun := slices.Clone(l.once), slices.Clone(l.notRun)
	l.mu.Unlock()
	for _, id := range once {
		if n := runs[id]; n > 1 {
			l.breaks("call %s may run once and ran %d times", id, n)
		}
	}
	for _, id := range notRun {
		if n := runs[id]; n > 0 {
			l.breaks("call %s is told not to have run and ran %d times", id, n)
		}
	}
}
