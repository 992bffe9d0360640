package roller

import (
	"maps"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// Controller proposes the events of the running rollouts. It holds the evidence
// of the hosts, which is not replicated: a new leader has all of it again after
// one report from each host.
type Controller struct {
	state    *State
	evidence map[evidenceKey]*Evidence
	// changed holds the evidence that grew since the tests last ran.
	changed map[evidenceKey]bool
	// localVerdicts holds the sources that reached a verdict from their own
	// counters.
	localVerdicts map[identifier.RolloutID][]Source
	alarmStates   alarmStates
	rates         map[evidenceKey]*serviceRates
	// firstReadings holds, for each rollout with a cutover, the first reading of
	// its request counter.
	firstReadings map[identifier.RolloutID]reading
}

// evidenceKey identifies the evidence of one rollout or, with an empty rollout
// id, that of a service's current version outside rollouts.
type evidenceKey struct {
	service identifier.Service
	rollout identifier.RolloutID
	control identifier.Version
}

// keyOf returns the key of a rollout's evidence.
func keyOf(r *Record) evidenceKey {
	return evidenceKey{service: r.Start.Service, rollout: r.Start.ID, control: r.Start.From}
}

// NewController returns a controller for the rollouts in state. The controller
// does not change state.
func NewController(state *State) *Controller {
	return &Controller{
		state:         state,
		evidence:      make(map[evidenceKey]*Evidence),
		changed:       make(map[evidenceKey]bool),
		localVerdicts: make(map[identifier.RolloutID][]Source), alarmStates: make(alarmStates),
		rates: make(map[evidenceKey]*serviceRates), firstReadings: make(map[identifier.RolloutID]reading),
	}
}

// Merge adds a host's report to the evidence.
func (c *Controller) Merge(r Report) {
	k := evidenceKey{service: r.Service, rollout: r.Rollout, control: r.Control}
	c.evidenceFor(k).Merge(r.Source, r.Cells)
	c.changed[k] = true
	c.updateAlarm(k, r.Cells)
	if len(r.Verdicts) > 0 && !slices.Contains(c.localVerdicts[r.Rollout], r.Source) {
		c.localVerdicts[r.Rollout] = append(c.localVerdicts[r.Rollout], r.Source)
	}
}

// updateAlarm passes the cells of a report to the rollout's alarm.
func (c *Controller) updateAlarm(k evidenceKey, touched Cells) {
	if k.rollout == "" {
		return
	}
	as, sum := c.alarmStates.get(k.rollout), c.evidenceFor(k).Sum()
	for key := range touched {
		if cause, ok := as.alarm.add(key, sum[key]); ok {
			as.raised, as.cause = true, cause
		}
	}
}

// evidenceFor returns the evidence under k, adding an empty one if there is
// none.
func (c *Controller) evidenceFor(k evidenceKey) *Evidence {
	e := c.evidence[k]
	if e == nil {
		e = NewEvidence()
		c.evidence[k] = e
	}
	return e
}

// Baseline returns the latency thresholds of a service's version for a rollout in
// stages, computed from the evidence gathered between rollouts.
func (c *Controller) Baseline(s identifier.Service, version identifier.Version) []Threshold {
	return Thresholds(c.evidenceFor(evidenceKey{service: s, control: version}).Sum(), slowQuantile)
}

// Refresh records the request rates that later decisions need and drops the
// evidence of ended rollouts. A controller that is not the leader calls it
// instead of Decide.
func (c *Controller) Refresh(now time.Time) {
	c.evictEnded()
	c.recordRates(now)
}

// Running reports whether a rollout is in progress, so that Decide may return
// events.
func (c *Controller) Running() bool {
	for _, r := range c.state.Records {
		if !r.Phase.Ended() {
			return true
		}
	}
	return false
}

// Decide returns the events that are due. It returns an event again until the
// State has applied it.
func (c *Controller) Decide(now time.Time) []Event {
	c.Refresh(now)
	var out []Event
	for _, id := range slices.Sorted(maps.Keys(c.state.Records)) {
		if r := c.state.Records[id]; !r.Phase.Ended() {
			out = append(out, c.decide(r, now)...)
		}
	}
	return out
}

// recordRates takes a reading of the request counters outside rollouts.
func (c *Controller) recordRates(now time.Time) {
	for k, e := range c.evidence {
		if k.rollout != "" {
			continue
		}
		m := c.rates[k]
		if m == nil {
			m = &serviceRates{staged: rateMeter{window: stagedRateWindow}, cutover: rateMeter{window: cutoverRateWindow}}
			c.rates[k] = m
		}
		n := e.Sum().Total(Control).Requests
		m.staged.record(now, n)
		m.cutover.record(now, n)
	}
}

// serviceRates holds the request rates of a service outside rollouts.
type serviceRates struct{ staged, cutover rateMeter }

// Prepare sets the fields of a requested start that the controller knows: the
// first level, the bound on in-flight requests of a rollout in stages, and the
// thresholds.
func (c *Controller) Prepare(e *StartRollout, now time.Time) {
	k := evidenceKey{service: e.Service, control: e.From}
	sum, m := c.evidenceFor(k).Sum(), c.rates[k]
	n := sum.Total(Control).Requests
	if m == nil {
		m = &serviceRates{}
	}
	if e.hasCutover() {
		e.Thresholds = Thresholds(sum, cutoverSlowQuantile)
		if rate, ok := m.cutover.rate(now, n); ok {
			e.FirstLevel = canaryLevel(e, rate)
		}
	} else {
		e.FirstLevel, e.InFlight = unknownRateLevel, defaultInFlight
		if rate, ok := m.staged.rate(now, n); ok {
			e.FirstLevel = FirstLevel(rate)
		}
		e.Thresholds = c.Baseline(e.Service, e.From)
	}
}

// evictEnded drops the state of rollouts that have ended.
func (c *Controller) evictEnded() {
	for k := range c.evidence {
		if r, ok := c.state.Records[k.rollout]; k.rollout != "" && (!ok || r.Phase.Ended()) {
			delete(c.evidence, k)
			delete(c.changed, k)
			delete(c.localVerdicts, k.rollout)
			delete(c.alarmStates, k.rollout)
			delete(c.firstReadings, k.rollout)
		}
	}
}

// decide returns the events that are due for one rollout.
func (c *Controller) decide(r *Record, now time.Time) []Event {
	k := keyOf(r)
	if e, ok := c.findVerdict(r, k, now); ok {
		return []Event{e}
	}
	as, sum := c.alarmStates.get(r.Start.ID), c.evidenceFor(k).Sum()
	as.update(sum, now)
	if v, ok := finalVerdict(r, sum, now); ok {
		return []Event{VerdictReached{ID: r.Start.ID, Verdict: v, At: now, Summary: Summarize(sum)}}
	}
	if r.Phase == Watched && c.watchEnded(r, as, now) {
		return []Event{WatchEnded{ID: r.Start.ID, At: now, Summary: Summarize(sum)}}
	}
	if l := c.targetLevel(r, as, now); l != r.Level {
		return []Event{StageReached{ID: r.Start.ID, Level: l, At: now, Summary: Summarize(sum)}}
	}
	return nil
}

// watchEnded reports whether the old version may be released. An active
// comparison and evidence near the limit prolong the watch period, at most to
// twice its length.
func (c *Controller) watchEnded(r *Record, as *alarmState, now time.Time) bool {
	if r.Start.hasCutover() {
		return !now.Before(r.Start.watchEnd())
	}
	if now.Before(r.MovedAt.Add(r.Start.Watch)) {
		return false
	}
	if !now.Before(r.MovedAt.Add(2 * r.Start.Watch)) {
		return true
	}
	near := Examine(c.evidenceFor(keyOf(r)).Sum(), r.Start.Routes, logLimitMerged()-nearLimitMargin)
	return !as.comparison.active(now) && len(near) == 0
}

// nearLimitMargin is the distance below the limit, in nats of log evidence,
// within which evidence counts as near the limit.
const nearLimitMargin = 5.0

// targetLevel returns the level that is due: that of the schedule, or a lower
// one during a comparison. The final step before the deadline ends a comparison
// that led to no verdict.
func (c *Controller) targetLevel(r *Record, as *alarmState, now time.Time) Level {
	scheduled := TopLevel
	switch {
	case r.Phase != Staged:
	case r.Start.hasCutover():
		as.comparison.stop()
		scheduled = c.cutoverLevel(r, now)
	default:
		scheduled = scheduledLevel(&r.Start, now)
		if finalStepDue(&r.Start, now) {
			as.comparison.stop()
		}
	}
	if as.comparison.active(now) {
		return min(scheduled, max(r.Level, r.Start.FirstLevel), as.comparison.level)
	}
	return scheduled
}

// findVerdict runs the tests on the merged counters of all hosts, and on the
// counters of each host that reached a verdict by itself.
func (c *Controller) findVerdict(r *Record, k evidenceKey, now time.Time) (Event, bool) {
	if !c.changed[k] {
		return nil, false
	}
	e := c.evidenceFor(k)
	out := VerdictReached{ID: k.rollout, At: now, Summary: Summarize(e.Sum())}
	if vs := Examine(e.Sum(), r.Start.Routes, logLimitMerged()); len(vs) > 0 {
		out.Verdict = vs[0]
		return out, true
	}
	for _, s := range c.localVerdicts[k.rollout] {
		if vs := Examine(e.sources[s], r.Start.Routes, logLimitLocal(r.Start.Hosts)); len(vs) > 0 {
			out.Verdict, out.Reporter = vs[0], s.Host
			return out, true
		}
	}
	delete(c.changed, k)
	return nil, false
}

// Requests returns the number of requests of a service's version that were
// counted between rollouts.
func (c *Controller) Requests(s identifier.Service, version identifier.Version) uint64 {
	return c.evidenceFor(evidenceKey{service: s, control: version}).Sum().Total(Control).Requests
}
