package roller

import (
	"maps"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// Controller proposes the events of the running rollouts. It holds the evidence
// of the hosts, which no log needs to carry: a new leader has it again after
// one report of each host.
type Controller struct {
	book     *Book
	evidence map[evidenceKey]*Evidence
	// changed holds the evidence that grew since the tests last ran.
	changed map[evidenceKey]bool
	// reported holds what hosts condemned by themselves.
	reported   map[identifier.RolloutID][]Source
	suspicions suspicions
	rates      map[evidenceKey]*rateMeter
}

// evidenceKey names the evidence of one rollout, or of a service's present
// version outside any.
type evidenceKey struct {
	service identifier.Service
	rollout identifier.RolloutID
	control identifier.Version
}

// keyOf returns the key of a rollout's evidence.
func keyOf(r *Record) evidenceKey {
	return evidenceKey{service: r.Start.Service, rollout: r.Start.ID, control: r.Start.From}
}

// NewController returns a controller for the rollouts in b, which it only
// reads.
func NewController(b *Book) *Controller {
	return &Controller{
		book:     b,
		evidence: make(map[evidenceKey]*Evidence),
		changed:  make(map[evidenceKey]bool),
		reported: make(map[identifier.RolloutID][]Source), suspicions: make(suspicions),
		rates: make(map[evidenceKey]*rateMeter),
	}
}

// Merge takes a host's report in.
func (c *Controller) Merge(r Report) {
	k := evidenceKey{service: r.Service, rollout: r.Rollout, control: r.Control}
	c.of(k).Merge(r.Source, r.Cells)
	c.changed[k] = true
	c.raise(k, r.Cells)
	if len(r.Verdicts) > 0 && !slices.Contains(c.reported[r.Rollout], r.Source) {
		c.reported[r.Rollout] = append(c.reported[r.Rollout], r.Source)
	}
}

// raise shows the cells that a report touched to the rollout's alarm.
func (c *Controller) raise(k evidenceKey, touched Cells) {
	if k.rollout == "" {
		return
	}
	p, sum := c.suspicions.of(k.rollout), c.of(k).Sum()
	for key := range touched {
		if by, ok := p.alarm.add(key, sum[key]); ok {
			p.raised, p.by = true, by
		}
	}
}

// of returns the evidence under k, adding an empty one where there is none.
func (c *Controller) of(k evidenceKey) *Evidence {
	e := c.evidence[k]
	if e == nil {
		e = NewEvidence()
		c.evidence[k] = e
	}
	return e
}

// Baseline returns the thresholds that the evidence gathered between rollouts
// gives for a version of a service.
func (c *Controller) Baseline(s identifier.Service, present identifier.Version) []Threshold {
	return Thresholds(c.of(evidenceKey{service: s, control: present}).Sum())
}

// Note takes readings that later decisions need. A controller that does not
// lead calls it in place of Decide.
func (c *Controller) Note(now time.Time) {
	c.forget()
	c.noteRates(now)
}

// Running reports whether a rollout is under way, so that Decide may have
// something to decide.
func (c *Controller) Running() bool {
	for _, r := range c.book.Records {
		if !r.Phase.Ended() {
			return true
		}
	}
	return false
}

// Decide returns the events that are due. An event that was not applied is
// returned anew.
func (c *Controller) Decide(now time.Time) []Event {
	c.Note(now)
	var out []Event
	for _, id := range slices.Sorted(maps.Keys(c.book.Records)) {
		if r := c.book.Records[id]; !r.Phase.Ended() {
			out = append(out, c.decide(r, now)...)
		}
	}
	return out
}

// noteRates takes a reading of the requests outside rollouts.
func (c *Controller) noteRates(now time.Time) {
	for k, e := range c.evidence {
		if k.rollout != "" {
			continue
		}
		m := c.rates[k]
		if m == nil {
			m = &rateMeter{}
			c.rates[k] = m
		}
		m.note(now, e.Sum().Total(Control).Requests)
	}
}

// Prepare fills in what the controller knows for a start that an operator asked
// for: the first level and the thresholds.
func (c *Controller) Prepare(e *StartRollout, now time.Time) {
	k := evidenceKey{service: e.Service, control: e.From}
	e.FirstLevel, e.InFlight = unknownRateLevel, defaultInFlight
	if m := c.rates[k]; m != nil {
		if rate, ok := m.rate(now, c.of(k).Sum().Total(Control).Requests); ok {
			e.FirstLevel = FirstLevel(rate)
		}
	}
	e.Thresholds = c.Baseline(e.Service, e.From)
}

// forget drops what is known of rollouts that have ended.
func (c *Controller) forget() {
	for k := range c.evidence {
		if r, ok := c.book.Records[k.rollout]; k.rollout != "" && (!ok || r.Phase.Ended()) {
			delete(c.evidence, k)
			delete(c.changed, k)
			delete(c.reported, k.rollout)
			delete(c.suspicions, k.rollout)
		}
	}
}

// decide returns the events that are due for one rollout.
func (c *Controller) decide(r *Record, now time.Time) []Event {
	k := keyOf(r)
	if e, ok := c.condemn(r, k, now); ok {
		return []Event{e}
	}
	p := c.suspicions.of(r.Start.ID)
	p.settle(c.of(k).Sum(), now)
	if r.Phase == Watched && c.watchIsOver(r, p, now) {
		return []Event{WatchEnded{ID: r.Start.ID, At: now, Summary: Summarize(c.of(k).Sum())}}
	}
	if l := wantedLevel(r, p, now); l != r.Level {
		return []Event{StageReached{ID: r.Start.ID, Level: l, At: now}}
	}
	return nil
}

// watchIsOver reports whether the old version may go. A comparison that goes on
// and evidence that is near the limit prolong the watch period, at most twofold.
func (c *Controller) watchIsOver(r *Record, p *suspicion, now time.Time) bool {
	if now.Before(r.MovedAt.Add(r.Start.Watch)) {
		return false
	}
	if !now.Before(r.MovedAt.Add(2 * r.Start.Watch)) {
		return true
	}
	near := Examine(c.of(keyOf(r)).Sum(), r.Start.Routes, logLimitMerged()-nearLimit)
	return !p.comparison.isOn(now) && len(near) == 0
}

// nearLimit is how far below the limit the log evidence is near it.
const nearLimit = 5.0

// wantedLevel returns the level that is due: that of the schedule, or a lower
// one while a comparison goes on. The last call before the deadline ends a
// comparison that condemned nothing.
func wantedLevel(r *Record, p *suspicion, now time.Time) Level {
	scheduled := TopLevel
	if r.Phase == Staged {
		scheduled = scheduledLevel(&r.Start, now)
		if isLastCall(&r.Start, now) {
			p.comparison.stop()
		}
	}
	if p.comparison.isOn(now) {
		return min(scheduled, max(r.Level, r.Start.FirstLevel), p.comparison.level)
	}
	return scheduled
}

// condemn runs the tests on the counters of all hosts together, and on those of
// each host that reached a verdict alone.
func (c *Controller) condemn(r *Record, k evidenceKey, now time.Time) (Event, bool) {
	if !c.changed[k] {
		return nil, false
	}
	e := c.of(k)
	out := VerdictReached{ID: k.rollout, At: now, Summary: Summarize(e.Sum())}
	if vs := Examine(e.Sum(), r.Start.Routes, logLimitMerged()); len(vs) > 0 {
		out.Verdict = vs[0]
		return out, true
	}
	for _, s := range c.reported[k.rollout] {
		if vs := Examine(e.sources[s], r.Start.Routes, logLimitLocal(r.Start.Hosts)); len(vs) > 0 {
			out.Verdict, out.Reporter = vs[0], s.Host
			return out, true
		}
	}
	delete(c.changed, k)
	return nil, false
}

// Requests returns how many requests of a version of a service were counted
// between rollouts.
func (c *Controller) Requests(s identifier.Service, present identifier.Version) uint64 {
	return c.of(evidenceKey{service: s, control: present}).Sum().Total(Control).Requests
}
