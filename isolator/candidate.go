package isolator

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a part or a whole request with the evidence for isolating it.
type candidate struct {
	Key
	// ends are those that count, in order of time.
	ends     []*end
	position int
	// isFormer is set if the part was isolated before and has not survived since.
	isFormer bool
	// hasSurvived is set if a call with the part survived before the ends.
	hasSurvived bool
	// isInOneRequest is set for a part if one request was on nearly all of its ends.
	// Then the request is the suspect, which fewer sound calls repeat.
	isInOneRequest bool
	// hasRepeatedRequest is set for a part if a request was on several of its ends.
	// Then sound calls get the time to survive, since several requests that end
	// servers may have a sound part in common.
	hasRepeatedRequest bool
}

// candidates returns the suspects of the ends that no isolated part explains, without
// those that survived afterwards. An end that an isolated request explains is no
// evidence against other requests. It is against a part that was on others as well.
func (i *Investigator) candidates(b *Book) map[Key]*candidate {
	out := make(map[Key]*candidate)
	for _, e := range i.ends {
		cause := b.explanation(e)
		if cause.Part != "" && !cause.IsRequest() {
			continue
		}
		for id, position := range e.Suspects {
			k := Key{e.Service, id}
			isExplained := e.isMass
			if k.IsRequest() {
				isExplained = cause.Part != ""
			}
			if isExplained || !i.survivals[k].Before(e.at) {
				continue
			}
			if out[k] == nil {
				out[k] = i.newCandidate(k, b.find(k))
			}
			out[k].addEnd(e, position)
		}
	}
	for _, c := range out {
		if !c.IsRequest() {
			c.isInOneRequest = i.isInOneRequest(c)
			c.hasRepeatedRequest = c.sharesEndsWithRequest(out)
		}
	}
	return out
}

// newCandidate returns a candidate without ends. former is its isolation that has
// ended, or nil.
func (i *Investigator) newCandidate(k Key, former *Isolation) *candidate {
	return &candidate{
		Key: k, hasSurvived: !i.survivals[k].IsZero(),
		isFormer: former != nil && i.survivals[k].Before(former.ReleasedAt),
	}
}

// addEnd adds an end, at which the candidate was at a position of a prompt.
func (c *candidate) addEnd(e *end, position int) {
	c.position = max(c.position, position)
	if n := len(c.ends); n == 0 || c.IsRequest() || c.ends[n-1].group != e.group {
		c.ends = append(c.ends, e)
	}
}

// mostSuspiciousPart returns the part with the most evidence, or nil, and by how many
// ends its score exceeds that of the next one.
func mostSuspiciousPart(candidates map[Key]*candidate) (best *candidate, lead int) {
	second := 0
	for _, c := range candidates {
		switch {
		case c.IsRequest() || c.isInOneRequest:
		case best == nil:
			best = c
		case c.compare(best) > 0:
			best, second = c, max(second, best.score())
		default:
			second = max(second, c.score())
		}
	}
	if best != nil {
		lead = best.score() - second
	}
	return best, lead
}

// score returns the number of ends, less those that a part which survived before
// needs more than others.
func (c *candidate) score() int {
	if c.hasSurvived {
		return len(c.ends) - soundEnds
	}
	return len(c.ends)
}

// compare orders candidates by their evidence: former ones highest, then those with
// higher score, and among equal ones the deeper in the prompt, which fewer sound calls
// contain.
func (c *candidate) compare(o *candidate) int {
	if c.isFormer != o.isFormer {
		if c.isFormer {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(c.score(), o.score()), cmp.Compare(c.position, o.position), o.Key.compare(c.Key))
}

// proven returns a candidate that the evidence suffices to isolate, requests first, or
// nil.
func (i *Investigator) proven(now time.Time, candidates map[Key]*candidate, hearing time.Duration) *candidate {
	if c := i.provenRequest(now, candidates, hearing); c != nil {
		return c
	}
	if c, lead := mostSuspiciousPart(candidates); c != nil && i.isPartProven(now, c, lead, hearing) {
		return c
	}
	return nil
}

// isPartProven reports whether the evidence suffices to isolate a part. One end
// suffices for a former candidate. For others, calls of the service must have survived
// since the first end: otherwise the service may end on any call.
func (i *Investigator) isPartProven(now time.Time, c *candidate, lead int, hearing time.Duration) bool {
	if now.Sub(i.began) < resumeTime {
		return false
	}
	if c.isFormer {
		return true
	}
	first := c.ends[0]
	if now.Sub(first.recordedAt) < askingPeriods*hearing {
		return false
	}
	if c.score() < requiredEnds || !i.survivals[Key{Service: c.Service}].After(first.at) {
		return false
	}
	if lead < requiredLead {
		return c.score() >= doubtfulEnds
	}
	decisive := c.ends[len(c.ends)-1-(c.score()-requiredEnds)]
	if c.hasRepeatedRequest {
		hearing = settleTime(hearing)
	}
	return now.Sub(decisive.recordedAt) >= hearing
}

// isolate returns the decision to isolate the candidate.
func (c *candidate) isolate(now time.Time) Isolate {
	ev := Isolate{Key: c.Key, At: now}
	for _, e := range c.ends {
		ev.Servers = append(ev.Servers, e.Server.ID)
		if !slices.Contains(ev.Versions, e.Version) {
			ev.Versions = append(ev.Versions, e.Version)
		}
	}
	return ev
}
