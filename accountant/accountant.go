package accountant

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

// retainedWindows is the number of past windows that a Meter and a Ledger keep.
// They span more time than a report may be late.
const retainedWindows = 6

// Meter counts the calls on one host. It is safe for concurrent use.
type Meter struct {
	length time.Duration

	mu     sync.Mutex
	counts map[describer.Window]describer.Counts
}

// NewMeter returns a Meter for windows of the given length.
func NewMeter(length time.Duration) *Meter {
	return &Meter{length: length, counts: make(map[describer.Window]describer.Counts)}
}

// Begin counts a call that began to run at the given time of day. It ignores a
// call without a customer.
func (m *Meter) Begin(c identifier.Customer, at time.Time) {
	if c == "" {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	w := describer.WindowAt(at, m.length)
	if m.counts[w] == nil {
		m.counts[w] = make(describer.Counts)
	}
	m.counts[w][c]++
}

// Counts returns the counts of the retained windows.
func (m *Meter) Counts(now time.Time) map[describer.Window]describer.Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	oldest := describer.WindowAt(now, m.length) - retainedWindows
	out := make(map[describer.Window]describer.Counts, len(m.counts))
	for w, c := range m.counts {
		if w < oldest {
			delete(m.counts, w)
			continue
		}
		out[w] = maps.Clone(c)
	}
	return out
}

// source is one run of the process of a host.
type source struct {
	host identifier.Host
	run  uint64
}

// silentAfter is the time without a report after which a host counts as silent
// and delays the closing of windows.
const silentAfter = time.Second

// Ledger sums the counts of all hosts. It is not safe for concurrent use.
type Ledger struct {
	length time.Duration
	// grace is the time between the end of a window and its closing. maxGrace
	// replaces it if a host may not have reported its counts.
	grace, maxGrace time.Duration
	startedAt       time.Time
	lastReport      map[identifier.Host]time.Time
	counts          map[describer.Window]map[source]describer.Counts
}

// NewLedger returns a Ledger that closes windows a grace period after their
// end. If a host is silent, or the ledger came into use only recently, it closes
// them maxGrace after their end, because a host may be partitioned and reconnect
// with counts that have not been reported.
func NewLedger(length, grace, maxGrace time.Duration) *Ledger {
	return &Ledger{
		length: length, grace: grace, maxGrace: max(maxGrace, grace),
		lastReport: make(map[identifier.Host]time.Time), counts: make(map[describer.Window]map[source]describer.Counts),
	}
}

// Begin records that the ledger is in use from now on, for example because its
// keeper has become leader. The ledger may not know all hosts yet.
func (l *Ledger) Begin(now time.Time) { l.startedAt = now }

// Merge merges the counts reported by one run of a host. It keeps the highest
// count of each customer and window, so repeated and late reports change
// nothing.
func (l *Ledger) Merge(now time.Time, host identifier.Host, run uint64, counts map[describer.Window]describer.Counts) {
	current := describer.WindowAt(now, l.length)
	l.lastReport[host] = now
	for w, c := range counts {
		if w < current-retainedWindows || w > current+1 {
			continue
		}
		if l.counts[w] == nil {
			l.counts[w] = make(map[source]describer.Counts)
		}
		l.mergeCounts(w, source{host, run}, c)
	}
	for w := range l.counts {
		if w < current-retainedWindows {
			delete(l.counts, w)
		}
	}
}

// Leave merges the last counts of a run of a host that stops. The host does not
// delay the closing of windows afterwards.
func (l *Ledger) Leave(now time.Time, host identifier.Host, run uint64, counts map[describer.Window]describer.Counts) {
	l.Merge(now, host, run, counts)
	delete(l.lastReport, host)
}

// mergeCounts raises each count to the reported one.
func (l *Ledger) mergeCounts(w describer.Window, s source, c describer.Counts) {
	held := l.counts[w][s]
	if held == nil {
		held = make(describer.Counts, len(c))
		l.counts[w][s] = held
	}
	for customer, n := range c {
		held[customer] = max(held[customer], n)
	}
}

// Due returns the windows after last that can be closed now, in order. A window
// that cannot be closed yet delays those after it, since windows are closed in
// order.
func (l *Ledger) Due(now time.Time, last describer.Window) []describer.Window {
	var due []describer.Window
	for _, w := range slices.Sorted(maps.Keys(l.counts)) {
		if w <= last {
			continue
		}
		if now.Before(w.End(l.length).Add(l.closeDelay(w, now))) {
			break
		}
		due = append(due, w)
	}
	return due
}

// closeDelay returns the time between the end of a window and its closing.
func (l *Ledger) closeDelay(w describer.Window, now time.Time) time.Duration {
	if w.End(l.length).Before(l.startedAt.Add(l.grace)) {
		return l.maxGrace
	}
	if l.silentHosts(now) > 0 {
		return l.maxGrace
	}
	return l.grace
}

// silentHosts returns the number of hosts that reported recently but are silent
// now. It removes hosts that have been silent for more than twice maxGrace.
func (l *Ledger) silentHosts(now time.Time) int {
	n := 0
	for host, at := range l.lastReport {
		switch silence := now.Sub(at); {
		case silence > 2*l.maxGrace:
			delete(l.lastReport, host)
		case silence > silentAfter:
			n++
		}
	}
	return n
}

// Hosts returns the number of hosts that reported counts of a window, and the
// number of hosts that reported recently but are silent now.
func (l *Ledger) Hosts(w describer.Window, now time.Time) (reported, silent int) {
	hosts := make(map[identifier.Host]bool)
	for s := range l.counts[w] {
		hosts[s.host] = true
	}
	return len(hosts), l.silentHosts(now)
}

// Sum returns the counts of all hosts in a window.
func (l *Ledger) Sum(w describer.Window) describer.Counts {
	sum := make(describer.Counts)
	for _, c := range l.counts[w] {
		for customer, n := range c {
			sum[customer] += n
		}
	}
	return sum
}
