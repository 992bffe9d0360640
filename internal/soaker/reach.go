package soaker

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

const (
	// contact is the time after which a host that was touched by a fault, and one that
	// is cut off, must serve again.
	contact = 3 * time.Second
	// minCutTries is the number of first tries at cut hosts below which a cut tells nothing.
	minCutTries = 20
	// maxUnanswered is the number of calls that a host may end without an answer while
	// their servers are silent.
	maxUnanswered = 3
	// deadlineSlack is the time before its deadline from which a call may be ended by it.
	deadlineSlack = 100 * time.Millisecond
)

// try is a call as its caller saw it.
type try struct {
	id         identifier.RequestID
	host       int
	start, end time.Time
	outcome    string
}

// span is a fault that was injected, with its true times.
type span struct {
	Fault
	from, to time.Time
}

// overlaps reports whether s was in progress between two times.
func (s span) overlaps(from, to time.Time) bool { return s.from.Before(to) && s.to.After(from) }

// recordSpan records a fault that is over.
func (l *ledger) recordSpan(s span) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spans = append(l.spans, s)
}

// isTouched reports whether a fault of the host of t, or of a keeper if keepers is set,
// was in progress within slack before the start of t, or before its end.
func (s *soak) isTouched(t try, slack time.Duration, keepers bool) bool {
	return slices.ContainsFunc(s.ledger.spans, func(f span) bool {
		return f.Kind.targetsProcess() && f.overlaps(t.start.Add(-slack), t.end) &&
			(f.Target == len(s.keepers)+t.host || keepers && f.Target < len(s.keepers))
	})
}

// hasPeer reports whether a host that c does not cut off was in touch during t. While
// none was, there is nothing to compare with.
func (s *soak) hasPeer(c span, t try) bool {
	for h := range s.entries {
		if t.host = h; !slices.Contains(c.Hosts, h) && !s.isTouched(t, contact, true) {
			return true
		}
	}
	return false
}

// checkCuts checks that hosts that were cut off from all backend servers served first
// tries at least two thirds as often as the others.
func (s *soak) checkCuts() {
	for _, c := range s.ledger.spans {
		if !c.isCut() {
			continue
		}
		var tries, served [2]int // at other hosts, and at those that were cut off
		for _, t := range s.ledger.tries {
			if t.start.Before(c.from.Add(contact)) || !t.start.Before(c.to) || s.isTouched(t, contact, true) || !s.hasPeer(c, t) {
				continue
			}
			i := 0
			if slices.Contains(c.Hosts, t.host) {
				i = 1
			}
			tries[i]++
			if t.outcome == fmt.Sprint(http.StatusOK) {
				served[i]++
			}
		}
		seen := fmt.Sprintf("%s %d of %d, others %d of %d", c.Kind, served[1], tries[1], served[0], tries[0])
		s.ledger.cuts = append(s.ledger.cuts, seen)
		if tries[1] >= minCutTries && served[1]*tries[0]*3 < served[0]*tries[1]*2 && tries[1]-served[1] > 10+(tries[0]+tries[1])/50 {
			s.ledger.addViolation("hosts %v that are cut off serve too few first tries: %s", c.Hosts, seen)
		}
	}
}

// checkSilences checks that hosts answered the calls that they had accepted while their
// servers were sound and only silent.
func (s *soak) checkSilences() {
	var checked int
	lost := make([][]identifier.RequestID, len(s.entries))
	for _, t := range s.ledger.tries {
		if !s.isSilentOnly(t) || t.end.Sub(t.start) > callerTimeout-deadlineSlack || s.isTouched(t, 0, false) {
			continue
		}
		checked++
		if t.outcome == unanswered || t.outcome == brokenOff {
			lost[t.host] = append(lost[t.host], t.id)
		}
	}
	s.ledger.silences = fmt.Sprintf("%d calls, not answered %v", checked, lost)
	for host, ids := range lost {
		if len(ids) > maxUnanswered {
			s.ledger.addViolation("%s ends %d calls without an answer while their servers are silent: %v", s.entries[host].name, len(ids), ids)
		}
	}
}

// isSilentOnly reports whether t was sent to servers behind links of which one was
// silent, and no other fault lay between its host and them.
func (s *soak) isSilentOnly(t try) (isSilent bool) {
	for _, f := range s.ledger.spans {
		if !f.overlaps(t.start, t.end) {
			continue
		}
		switch {
		case f.isCut():
			if slices.Contains(f.Hosts, t.host) {
				return false
			}
		case f.Kind == Brittle: // its falls have spans of their own
		case f.Kind.targetsProcess() || !s.links[f.Target].saw(t.id):
		case f.Kind != Silence:
			return false
		default:
			isSilent = true
		}
	}
	return isSilent
}
