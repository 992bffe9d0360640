package isolator

import (
	"slices"
	"strings"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

const (
	// requestPrefix begins the ids of suspects that stand for whole requests. The id
	// of a part contains no colon.
	requestPrefix = "request:"
	// requiredRequestEnds is how many ends in a row isolate a request. They are
	// fewer than for a part, since sound calls do not share it. A request that
	// survived before needs soundEnds more.
	requiredRequestEnds = 3
	// requiredOwnEnds is how many of the ends of a request no other request must be able
	// to cause that was on as many, and on how many of the ends of a part at least the
	// request must be missing that was on most of them.
	requiredOwnEnds = 2
	// repetitionTime is the least time from the end of a server to that of the next one
	// to which the host sent the request again.
	repetitionTime = 4 * time.Millisecond
	// requestSettleTime is how long a request must not have survived after the end that
	// decides. A sound one that many callers repeat survives within that time.
	requestSettleTime = 2 * time.Second
	// requestAskTime is for how long after a single end hosts are asked about the
	// requests on it. Most requests come only once.
	requestAskTime = 3 * time.Second
)

// requestProbeDelays are the times from the isolation of a request, or its last
// probe, to the next probe. The first is short, since a sound request that is
// blamed has the same callers each time.
var requestProbeDelays = [...]time.Duration{20 * time.Second, 10 * time.Minute}

// RequestSuspect returns the suspect that stands for a whole request, in the form of
// a part that only its repetitions contain. The fingerprint identifies the request
// and its customer.
func RequestSuspect(fingerprint string) describer.PromptPart {
	return describer.PromptPart{ID: requestPrefix + identifier.PartID(fingerprint)}
}

// IsRequest reports whether the key stands for a whole request instead of a part.
func (k Key) IsRequest() bool { return strings.HasPrefix(string(k.Part), requestPrefix) }

// Subject returns what the key stands for, for logs and refusals.
func (k Key) Subject() string {
	if k.IsRequest() {
		return "request " + strings.TrimPrefix(string(k.Part), requestPrefix)
	}
	return "prompt part " + string(k.Part)
}

// moments returns the number of the candidate's ends, where those at the same moment
// count once. A repetition reaches the next server after the end of the one before.
func (c *candidate) moments() int {
	n, last := 0, time.Time{}
	for _, e := range c.ends {
		if e.at.Sub(last) > repetitionTime {
			n, last = n+1, e.at
		}
	}
	return n
}

// provenRequest returns a request that the evidence suffices to isolate, the most
// suspicious one first, or nil.
func (i *Investigator) provenRequest(now time.Time, candidates map[Key]*candidate, hearing time.Duration) *candidate {
	var best *candidate
	for _, c := range candidates {
		if c.IsRequest() && (best == nil || c.compare(best) > 0) && i.isRequestProven(now, c, candidates, hearing) {
			best = c
		}
	}
	return best
}

// isRequestProven reports whether the evidence suffices to isolate a request. One
// end suffices for a former candidate. Of others no repetition must have survived
// that was at work on other servers meanwhile, and no other request must explain the
// ends as well. If no call of the service survived since the first end, the service may
// end on any call, or all its servers for a cause of their own: then the ends must be
// of several moments, and the request must account for nearly all of the service's.
func (i *Investigator) isRequestProven(now time.Time, c *candidate, candidates map[Key]*candidate, hearing time.Duration) bool {
	switch {
	case now.Sub(i.began) < resumeTime:
		return false
	case c.isFormer:
		return true
	case c.score() < requiredRequestEnds:
		return false
	}
	decisive := c.ends[len(c.ends)-1-(c.score()-requiredRequestEnds)]
	if now.Sub(decisive.recordedAt) < max(requestSettleTime, settleTime(hearing)) {
		return false
	}
	if c.ownEnds(candidates) < requiredOwnEnds || i.hasStrongerPart(c, candidates) {
		return false
	}
	return i.survivals[Key{Service: c.Service}].After(c.ends[0].at) ||
		c.moments() >= requiredRequestEnds && 2*i.otherEnds(c) < len(c.ends)
}

// settleTime returns how long after an end the leader knows which calls survived that
// other servers were answering then.
func settleTime(hearing time.Duration) time.Duration { return SurvivalTime + askingPeriods*hearing }

// sharesEndsWithRequest reports whether a request that was on several ends was on one
// of the candidate's.
func (c *candidate) sharesEndsWithRequest(candidates map[Key]*candidate) bool {
	for _, e := range c.ends {
		for id := range e.Suspects {
			if o := candidates[Key{c.Service, id}]; o != nil && o.IsRequest() && len(o.ends) > 1 {
				return true
			}
		}
	}
	return false
}

// isInOneRequest reports whether one request, which has not survived since, was on
// several ends of a part and on nearly all of them.
func (i *Investigator) isInOneRequest(c *candidate) bool {
	counts := make(map[identifier.PartID]int)
	most := 0
	for _, e := range c.ends {
		for id := range e.Suspects {
			k := Key{c.Service, id}
			if k.IsRequest() && i.survivals[k].Before(c.ends[0].at) {
				counts[id]++
				most = max(most, counts[id])
			}
		}
	}
	return most > 1 && !outnumber(len(c.ends), most)
}

// hasStrongerPart reports whether a part that has not survived explains the ends of a
// request, and many more.
func (i *Investigator) hasStrongerPart(c *candidate, candidates map[Key]*candidate) bool {
	for id := range c.ends[0].Suspects {
		p := candidates[Key{c.Service, id}]
		if p == nil || p.IsRequest() || !outnumber(i.countEnds(p.Key), len(c.ends)) {
			continue
		}
		isMissing := func(e *end) bool { _, ok := e.Suspects[id]; return !ok }
		if !slices.ContainsFunc(c.ends, isMissing) {
			return true
		}
	}
	return false
}

// outnumber reports whether the ends of a part are so many more than those of them
// with one request that the part is to blame instead of the request.
func outnumber(ends, withRequest int) bool {
	return ends-withRequest >= max(requiredOwnEnds, withRequest/2)
}

// countEnds returns the number of ends with a suspect since it last survived. Several
// at the same moment count once.
func (i *Investigator) countEnds(k Key) int {
	n, last := 0, time.Time{}
	for _, e := range i.ends {
		if _, ok := e.Suspects[k.Part]; !ok || e.Service != k.Service || !i.survivals[k].Before(e.at) {
			continue
		}
		if e.at.Sub(last) > massTime {
			n, last = n+1, e.at
		}
	}
	return n
}

// ownEnds returns the number of the candidate's ends at which no other request may be
// the cause that was on as many ends or more.
func (c *candidate) ownEnds(candidates map[Key]*candidate) int {
	own := 0
	for _, e := range c.ends {
		if !c.hasStrongerRival(e, candidates) {
			own++
		}
	}
	return own
}

// hasStrongerRival reports whether an end counts for another request with as many ends
// or more.
func (c *candidate) hasStrongerRival(e *end, candidates map[Key]*candidate) bool {
	for id := range e.Suspects {
		o := candidates[Key{c.Service, id}]
		if o != nil && o != c && o.IsRequest() && len(o.ends) >= len(c.ends) && slices.Contains(o.ends, e) {
			return true
		}
	}
	return false
}

// otherEnds returns the number of ends of the service since the candidate's first
// one at which it was no suspect.
func (i *Investigator) otherEnds(c *candidate) int {
	n := 0
	for _, e := range i.ends {
		if _, ok := e.Suspects[c.Part]; !ok && e.Service == c.Service && !e.at.Before(c.ends[0].at) {
			n++
		}
	}
	return n
}

// isAskedAbout reports whether hosts are to report the survivals of a candidate.
func (c *candidate) isAskedAbout(now time.Time) bool {
	return !c.IsRequest() || len(c.ends) > 1 || now.Sub(c.ends[0].recordedAt) < requestAskTime
}
