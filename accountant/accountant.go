package accountant

import (
	"maps"
	"slices"
	"sync"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

// keptWindows is how many windows a Meter and a Ledger remember: more than a
// report may be late.
const keptWindows = 6

// Meter counts on one host. It is safe for concurrent use.
type Meter struct {
	length time.Duration

	mu     sync.Mutex
	counts map[describer.Window]describer.Counts
}

// NewMeter returns a Meter for windows of a length.
func NewMeter(length time.Duration) *Meter {
	return &Meter{length: length, counts: make(map[describer.Window]describer.Counts)}
}

// Begin counts a call that began to run at a time of day.
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

// Counts returns what was counted in the last windows.
func (m *Meter) Counts(now time.Time) map[describer.Window]describer.Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	oldest := describer.WindowAt(now, m.length) - keptWindows
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

// source is one run of a host's process.
type source struct {
	host identifier.Host
	run  uint64
}

// silentAfter is how long a host that counted is silent before a window waits
// for it.
const silentAfter = time.Second

// Ledger sums up what the hosts counted. It is not safe for concurrent use.
type Ledger struct {
	length time.Duration
	// grace passes between the end of a window and its closing, and patience
	// where a host may not have told its counts.
	grace, patience time.Duration
	began           time.Time
	heard           map[identifier.Host]time.Time
	counts          map[describer.Window]map[source]describer.Counts
}

// NewLedger returns a Ledger that closes windows a grace period after their end.
// Where a host that counted is silent, or the ledger began a short while ago, it
// waits for as long as patience: the host may be cut off and come back.
func NewLedger(length, grace, patience time.Duration) *Ledger {
	return &Ledger{
		length: length, grace: grace, patience: max(patience, grace),
		heard: make(map[identifier.Host]time.Time), counts: make(map[describer.Window]map[source]describer.Counts),
	}
}

// Begin tells that the ledger is in use from now on, as when its keeper begins
// to lead: it may not know all hosts yet.
func (l *Ledger) Begin(now time.Time) { l.began = now }

// Merge takes in the counts of one run of a host.
func (l *Ledger) Merge(now time.Time, host identifier.Host, run uint64, counts map[describer.Window]describer.Counts) {
	present := describer.WindowAt(now, l.length)
	l.heard[host] = now
	for w, c := range counts {
		if w < present-keptWindows || w > present+1 {
			continue
		}
		if l.counts[w] == nil {
			l.counts[w] = make(map[source]describer.Counts)
		}
		l.join(w, source{host, run}, c)
	}
	for w := range l.counts {
		if w < present-keptWindows {
			delete(l.counts, w)
		}
	}
}

// Leave takes in the last counts of a run of a host, which stops: no window waits
// for it any more.
func (l *Ledger) Leave(now time.Time, host identifier.Host, run uint64, counts map[describer.Window]describer.Counts) {
	l.Merge(now, host, run, counts)
	delete(l.heard, host)
}

// join raises each count to the reported one.
func (l *Ledger) join(w describer.Window, s source, c describer.Counts) {
	held := l.counts[w][s]
	if held == nil {
		held = make(describer.Counts, len(c))
		l.counts[w][s] = held
	}
	for customer, n := range c {
		held[customer] = max(held[customer], n)
	}
}

// Due returns the windows after last that can be closed now, in order. One that
// waits holds up those after it, since windows are closed in order.
func (l *Ledger) Due(now time.Time, last describer.Window) []describer.Window {
	var due []describer.Window
	for _, w := range slices.Sorted(maps.Keys(l.counts)) {
		if w <= last {
			continue
		}
		if now.Before(w.End(l.length).Add(l.waitFor(w, now))) {
			break
		}
		due = append(due, w)
	}
	return due
}

// waitFor returns how long after its end a window is closed.
func (l *Ledger) waitFor(w describer.Window, now time.Time) time.Duration {
	if w.End(l.length).Before(l.began.Add(l.grace)) {
		return l.patience
	}
	if l.silent(now) > 0 {
		return l.patience
	}
	return l.grace
}

// silent returns how many of the hosts that counted lately are silent, and
// forgets those that are gone for good.
func (l *Ledger) silent(now time.Time) int {
	n := 0
	for host, at := range l.heard {
		switch silence := now.Sub(at); {
		case silence > 2*l.patience:
			delete(l.heard, host)
		case silence > silentAfter:
			n++
		}
	}
	return n
}

// Hosts returns how many hosts told counts of a window, and how many of the hosts
// that counted lately are silent now.
func (l *Ledger) Hosts(w describer.Window, now time.Time) (told, silent int) {
	hosts := make(map[identifier.Host]bool)
	for s := range l.counts[w] {
		hosts[s.host] = true
	}
	return len(hosts), l.silent(now)
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
