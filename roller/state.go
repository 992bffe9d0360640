package roller

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// State is the replicated state machine of all rollouts. Its zero value is
// ready to use. Only Apply changes it, and the result depends on nothing but
// the events.
type State struct {
	// Records holds every rollout by its id.
	Records map[identifier.RolloutID]*Record `json:"records"`
	// Sequence is the number of the last directive.
	Sequence uint64 `json:"sequence"`
}

// Apply applies one event. A refused event changes nothing, returns a typed
// error and leaves an audit record among the effects. A start or revert that
// repeats an earlier one, or has nothing left to do, returns neither an error
// nor effects.
func (st *State) Apply(e Event) ([]Effect, error) {
	switch e := e.(type) {
	case StartRollout:
		return st.start(e)
	case StageReached:
		return st.change(e.ID, actionStage, auditInfo{at: e.At}, func(r *Record) []Effect { return st.applyStage(r, e) })
	case VerdictReached:
		return st.change(e.ID, actionVerdict, auditInfo{at: e.At, reason: e.Verdict.String()}, func(r *Record) []Effect {
			r.Verdict = &e.Verdict
			return st.revert(r, e.At, e.Verdict.String(), e.Summary)
		})
	case RevertRollout:
		info := auditInfo{at: e.At, operator: e.Operator, reason: e.Reason}
		return st.change(e.ID, actionRevert, info, func(r *Record) []Effect {
			return st.revert(r, e.At, fmt.Sprintf("operator %s: %s", e.Operator, e.Reason), r.Summary)
		})
	case WatchEnded:
		return st.change(e.ID, actionEnd, auditInfo{at: e.At}, func(r *Record) []Effect { return st.endWatch(r, e) })
	default:
		panic(fmt.Sprintf("unknown type of rollout event %T", e))
	}
}

// Running returns the active rollout of a service.
func (st *State) Running(s identifier.Service) (*Record, bool) {
	for _, r := range st.Records {
		if r.Start.Service == s && !r.Phase.Ended() {
			return r, true
		}
	}
	return nil, false
}

// Directives returns the last directive of each service, sorted by service
// name.
func (st *State) Directives() []Directive {
	last := make(map[identifier.Service]*Record)
	for _, r := range st.Records {
		if l := last[r.Start.Service]; l == nil || r.Sequence > l.Sequence {
			last[r.Start.Service] = r
		}
	}
	out := make([]Directive, 0, len(last))
	for _, s := range slices.Sorted(maps.Keys(last)) {
		out = append(out, last[s].directive())
	}
	return out
}

// CurrentVersion returns the current version of a service whose version in the
// fleet document is configured. The two differ if a finished rollout moved the
// service away from the configured version.
func (st *State) CurrentVersion(s identifier.Service, configured identifier.Version) identifier.Version {
	for _, d := range st.Directives() {
		if d.Service == s && d.Replaces == configured {
			return d.Control
		}
	}
	return configured
}

// List returns a copy of the records, the most recently changed first.
func (st *State) List() []Record {
	out := make([]Record, 0, len(st.Records))
	for _, r := range st.Records {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(b.Sequence, a.Sequence) })
	return out
}

// auditInfo holds when a change was made, by which operator and why.
type auditInfo struct {
	at       time.Time
	operator identifier.Operator
	reason   string
}

// start adds a rollout at its first level.
func (st *State) start(e StartRollout) ([]Effect, error) {
	if r, ok := st.Records[e.ID]; ok && r.Start.isResentAs(&e) {
		return nil, nil
	}
	info := auditInfo{at: e.At, operator: e.Operator, reason: e.Reason}
	if err := st.checkStart(e); err != nil {
		return auditRefusal(e.ID, actionStart, info, err), err
	}
	if st.Records == nil {
		st.Records = make(map[identifier.RolloutID]*Record)
	}
	st.evictOldest()
	r := &Record{Start: e, Phase: Staged, Level: e.FirstLevel}
	st.Records[e.ID] = r
	return []Effect{st.publish(r), auditOf(r, actionStart, info, NoLevel)}, nil
}

// MaxRecords is the maximum number of rollouts that a State keeps.
const MaxRecords = 512

// evictOldest removes the oldest ended rollout if MaxRecords rollouts are kept.
// It keeps the last rollout of each service, since the hosts still follow its
// directive.
func (st *State) evictOldest() {
	if len(st.Records) < MaxRecords {
		return
	}
	last := make(map[identifier.Service]uint64)
	for _, r := range st.Records {
		last[r.Start.Service] = max(last[r.Start.Service], r.Sequence)
	}
	var oldest *Record
	for _, r := range st.Records {
		if r.Sequence < last[r.Start.Service] && (oldest == nil || r.Sequence < oldest.Sequence) {
			oldest = r
		}
	}
	if oldest != nil {
		delete(st.Records, oldest.Start.ID)
	}
}

// checkStart returns an error if a rollout cannot start.
func (st *State) checkStart(e StartRollout) error {
	if r, ok := st.Records[e.ID]; ok {
		return &TransitionError{Rollout: e.ID, Phase: r.Phase, Action: actionStart}
	}
	if r, ok := st.Running(e.Service); ok {
		return &BusyError{Service: e.Service, Running: r.Start.ID}
	}
	switch {
	case e.ID == "":
		return &PlanError{Problem: "the rollout has no id", Remedy: "give it one"}
	case e.From == e.To:
		return &PlanError{Problem: "both versions are " + string(e.To), Remedy: "name the version to move to"}
	case !e.Deadline.After(e.At):
		return &PlanError{Problem: "the deadline has passed", Remedy: "name a later one"}
	case e.FirstLevel == NoLevel || e.FirstLevel >= TopLevel:
		return &PlanError{Problem: "the first stage has no share between none and all", Remedy: "choose a level in between"}
	default:
		return nil
	}
}

// change applies f to a running rollout.
func (st *State) change(id identifier.RolloutID, action string, info auditInfo, f func(*Record) []Effect) ([]Effect, error) {
	r, ok := st.Records[id]
	if !ok {
		err := &UnknownError{Rollout: id}
		return auditRefusal(id, action, info, err), err
	}
	if r.Phase == Reverted && action == actionRevert {
		return nil, nil
	}
	if r.Phase.Ended() || action == actionEnd && r.Phase != Watched {
		err := &TransitionError{Rollout: id, Phase: r.Phase, Action: action}
		return auditRefusal(id, action, info, err), err
	}
	before := r.Level
	effects := f(r)
	return append(effects, auditOf(r, action, info, before)), nil
}

// applyStage sets the level of a stage.
func (st *State) applyStage(r *Record, e StageReached) []Effect {
	r.Level, r.Summary = min(e.Level, TopLevel), e.Summary
	effects := []Effect{st.publish(r)}
	if r.Phase == Staged && r.Level == TopLevel {
		r.Phase, r.MovedAt = Watched, e.At
		effects = append(effects, r.notice(e.At, "all traffic moved"))
	}
	return effects
}

// revert ends the rollout and withdraws the candidate.
func (st *State) revert(r *Record, at time.Time, cause string, s Summary) []Effect {
	r.end(Reverted, at, cause, s)
	return []Effect{st.publish(r), r.notice(at, cause), ReleaseVersion{Service: r.Start.Service, Version: r.Start.To}}
}

// endWatch ends the watch period.
func (st *State) endWatch(r *Record, e WatchEnded) []Effect {
	const cause = "the watch period ended without a verdict"
	r.end(Done, e.At, cause, e.Summary)
	return []Effect{st.publish(r), r.notice(e.At, cause), ReleaseVersion{Service: r.Start.Service, Version: r.Start.From}}
}

// publish assigns the next sequence number to the rollout's directive and
// returns the effect that publishes it.
func (st *State) publish(r *Record) Effect {
	st.Sequence++
	r.Sequence = st.Sequence
	return PublishDirective{Directive: r.directive()}
}

// auditOf returns the audit record of an accepted change.
func auditOf(r *Record, action string, info auditInfo, before Level) Effect {
	return RecordAudit{Audit: Audit{
		Rollout: r.Start.ID, At: info.at, Operator: info.operator, Action: action,
		Reason: info.reason, Before: before, After: r.Level,
	}}
}

// auditRefusal returns the audit record of a refused change.
func auditRefusal(id identifier.RolloutID, action string, info auditInfo, err error) []Effect {
	return []Effect{RecordAudit{Audit: Audit{
		Rollout: id, At: info.at, Operator: info.operator, Action: action, Reason: info.reason, Refused: err.Error(),
	}}}
}
