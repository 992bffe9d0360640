package isolator

import (
	"cmp"
	"slices"
	"time"
)

// candidate is a part with the evidence for isolating it.
type candidate struct {
	Key
	// ends are those that count, in order of time.
	ends     []*end
	position int
	// isFormer is set if the part was isolated before and has not survived since.
	isFormer bool
	// hasSurvived is set if a call with the part survived before the ends.
	hasSurvived bool
}

// candidates returns the suspects of the ends that no isolation explains, without
// those that survived afterwards.
func (i *Investigator) candidates(b *Book) map[Key]*candidate {
	out := make(map[Key]*candidate)
	for _, e := range i.ends {
		if e.isMass || b.explains(e) {
			continue
		}
		for id, position := range e.Suspects {
			k := Key{e.Service, id}
			if !i.survivals[k].Before(e.at) {
				continue
			}
			c := out[k]
			if c == nil {
				former := b.find(k)
				c = &candidate{
					Key: k, hasSurvived: !i.survivals[k].IsZero(),
					isFormer: former != nil && i.survivals[k].Before(former.ReleasedAt),
				}
				out[k] = c
			}
			c.position = max(c.position, position)
			if n := len(c.ends); n == 0 || c.ends[n-1].group != e.group {
				c.ends = append(c.ends, e)
			}
		}
	}
	return out
}

// mostSuspicious returns the candidate with the most evidence, or nil, and by how
// many ends its score exceeds that of the next one.
func mostSuspicious(candidates map[Key]*candidate) (best *candidate, lead int) {
	second := 0
	for _, c := range candidates {
		switch {
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

// isProven reports whether the evidence suffices. One end suffices for a former
// candidate. For others, calls of the service must have survived since the first
// end: otherwise the service may end on any call.
func (i *Investigator) isProven(now time.Time, c *candidate, lead int, hearing time.Duration) bool {
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
	return now.Sub(decisive.recordedAt) >= hearing
}

// isolate returns the decision to isolate the part.
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
