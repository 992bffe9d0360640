package soaker

import (
	"fmt"
	"slices"
	"sync"

	"cyclamenhub.org/identifier"
)

// maxViolations bounds the number of violations in a report.
const maxViolations = 50

// ledger records what callers and the operator observed, and the violations of
// the promises. It is safe for concurrent use.
type ledger struct {
	mu             sync.Mutex
	outcomes       map[string]int
	tries          []try
	spans          []span
	cuts           []string
	silences       string
	brittle        []string
	nonIdempotent  []identifier.RequestID // may run at most once each
	notRun         []identifier.RequestID // reported to the caller as not run
	newestRevision identifier.Revision
	stored         int
	violations     []string
}

// addViolation records a violation; those beyond maxViolations are dropped.
func (l *ledger) addViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, fmt.Sprintf(format, args...))
	}
}

// recordStart records that a request is sent.
func (l *ledger) recordStart(id identifier.RequestID, mayRepeat bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !mayRepeat {
		l.nonIdempotent = append(l.nonIdempotent, id)
	}
}

// recordOutcome records the outcome of a request.
func (l *ledger) recordOutcome(t try, notRun bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outcomes == nil {
		l.outcomes = make(map[string]int)
	}
	l.outcomes[t.outcome]++
	l.tries = append(l.tries, t)
	if notRun {
		l.notRun = append(l.notRun, t.id)
	}
}

// recordAcknowledged records that the document with revision r was acknowledged.
func (l *ledger) recordAcknowledged(r identifier.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newestRevision = max(l.newestRevision, r)
	l.stored++
}

// newestAcknowledged returns the newest acknowledged revision.
func (l *ledger) newestAcknowledged() identifier.Revision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newestRevision
}

// checkRuns compares the outcomes reported to callers with runs, the number of
// executions of each request at the backend servers.
func (l *ledger) checkRuns(runs map[identifier.RequestID]int) {
	l.mu.Lock()
	nonIdempotent, notRun := slices.Clone(l.nonIdempotent), slices.Clone(l.notRun)
	l.mu.Unlock()
	for _, id := range nonIdempotent {
		if n := runs[id]; n > 1 {
			l.addViolation("call %s may run once and ran %d times", id, n)
		}
	}
	for _, id := range notRun {
		if n := runs[id]; n > 0 {
			l.addViolation("call %s is told not to have run and ran %d times", id, n)
		}
	}
}
