package roller

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// Book is the replicated state of all rollouts. Its zero value is ready to use.
// Apply is its only change and depends on nothing but the events.
type Book struct {
	// Records holds every rollout by its id.
	Records map[identifier.RolloutID]*Record `json:"records"`
	// Sequence numbers the directives.
	Sequence uint64 `json:"sequence"`
}

// Apply changes the book by one event. An event that is refused changes
// nothing, returns a typed error and leaves an audit record among the effects.
// A start or revert that was sent again, or has nothing left to do, has neither
// an error nor effects.
func (b *Book) Apply(e Event) ([]Effect, error) {
	switch e := e.(type) {
	case StartRollout:
		return b.start(e)
	case StageReached:
		return b.change(e.ID, actionStage, audited{at: e.At}, func(r *Record) []Effect { return b.reach(r, e) })
	case VerdictReached:
		return b.change(e.ID, actionVerdict, audited{at: e.At, reason: e.Verdict.String()}, func(r *Record) []Effect {
			r.Verdict = &e.Verdict
			return b.revert(r, e.At, e.Verdict.String(), e.Summary)
		})
	case RevertRollout:
		who := audited{at: e.At, operator: e.Operator, reason: e.Reason}
		return b.change(e.ID, actionRevert, who, func(r *Record) []Effect {
			return b.revert(r, e.At, fmt.Sprintf("operator %s: %s", e.Operator, e.Reason), r.Summary)
		})
	case WatchEnded:
		return b.change(e.ID, actionEnd, audited{at: e.At}, func(r *Record) []Effect { return b.finish(r, e) })
	default:
		panic(fmt.Sprintf("rollout event %T is not sealed", e))
	}
}

// Running returns the rollout that moves a service.
func (b *Book) Running(s identifier.Service) (*Record, bool) {
	for _, r := range b.Records {
		if r.Start.Service == s && !r.Phase.Ended() {
			return r, true
		}
	}
	return nil, false
}

// Directives returns the last directive of each service, in the order of their
// names.
func (b *Book) Directives() []Directive {
	last := make(map[identifier.Service]*Record)
	for _, r := range b.Records {
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

// Present returns the present version of a service of which the fleet document
// names one.
func (b *Book) Present(s identifier.Service, configured identifier.Version) identifier.Version {
	for _, d := range b.Directives() {
		if d.Service == s && d.Replaces == configured {
			return d.Control
		}
	}
	return configured
}

// List returns a copy of the records, those that changed last first.
func (b *Book) List() []Record {
	out := make([]Record, 0, len(b.Records))
	for _, r := range b.Records {
		out = append(out, *r)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(b.Sequence, a.Sequence) })
	return out
}

// audited says who made a change, when and why.
type audited struct {
	at       time.Time
	operator identifier.Operator
	reason   string
}

// start adds a rollout at its first level.
func (b *Book) start(e StartRollout) ([]Effect, error) {
	if r, ok := b.Records[e.ID]; ok && r.Start.isResentAs(&e) {
		return nil, nil
	}
	who := audited{at: e.At, operator: e.Operator, reason: e.Reason}
	if err := b.checkStart(e); err != nil {
		return refused(e.ID, actionStart, who, err), err
	}
	if b.Records == nil {
		b.Records = make(map[identifier.RolloutID]*Record)
	}
	b.forget()
	r := &Record{Start: e, Phase: Staged, Level: e.FirstLevel}
	b.Records[e.ID] = r
	return []Effect{b.publish(r), recordAudit(r, actionStart, who, NoLevel)}, nil
}

// MaxRecords bounds the rollouts that a book remembers.
const MaxRecords = 512

// forget drops the oldest ended rollout of a full book. The last one of each
// service stays, since its directive is in force.
func (b *Book) forget() {
	if len(b.Records) < MaxRecords {
		return
	}
	last := make(map[identifier.Service]uint64)
	for _, r := range b.Records {
		last[r.Start.Service] = max(last[r.Start.Service], r.Sequence)
	}
	var oldest *Record
	for _, r := range b.Records {
		if r.Sequence < last[r.Start.Service] && (oldest == nil || r.Sequence < oldest.Sequence) {
			oldest = r
		}
	}
	if oldest != nil {
		delete(b.Records, oldest.Start.ID)
	}
}

// checkStart returns why a rollout can't begin.
func (b *Book) checkStart(e StartRollout) error {
	if r, ok := b.Records[e.ID]; ok {
		return &TransitionError{Rollout: e.ID, Phase: r.Phase, Action: actionStart}
	}
	if r, ok := b.Running(e.Service); ok {
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
func (b *Book) change(id identifier.RolloutID, action string, who audited, f func(*Record) []Effect) ([]Effect, error) {
	r, ok := b.Records[id]
	if !ok {
		err := &UnknownError{Rollout: id}
		return refused(id, action, who, err), err
	}
	if r.Phase == Reverted && action == actionRevert {
		return nil, nil
	}
	if r.Phase.Ended() || action == actionEnd && r.Phase != Watched {
		err := &TransitionError{Rollout: id, Phase: r.Phase, Action: action}
		return refused(id, action, who, err), err
	}
	before := r.Level
	effects := f(r)
	return append(effects, recordAudit(r, action, who, before)), nil
}

// reach sets the level of a stage.
func (b *Book) reach(r *Record, e StageReached) []Effect {
	r.Level = min(e.Level, TopLevel)
	effects := []Effect{b.publish(r)}
	if r.Phase == Staged && r.Level == TopLevel {
		r.Phase, r.MovedAt = Watched, e.At
		effects = append(effects, r.notice(e.At, "all traffic moved"))
	}
	return effects
}

// revert takes the candidate back.
func (b *Book) revert(r *Record, at time.Time, cause string, s Summary) []Effect {
	r.end(Reverted, at, cause, s)
	return []Effect{b.publish(r), r.notice(at, cause), ReleaseVersion{Service: r.Start.Service, Version: r.Start.To}}
}

// finish ends the watch period.
func (b *Book) finish(r *Record, e WatchEnded) []Effect {
	const cause = "the watch period ended without a verdict"
	r.end(Done, e.At, cause, e.Summary)
	return []Effect{b.publish(r), r.notice(e.At, cause), ReleaseVersion{Service: r.Start.Service, Version: r.Start.From}}
}

// publish numbers and returns the directive of a rollout.
func (b *Book) publish(r *Record) Effect {
	b.Sequence++
	r.Sequence = b.Sequence
	return PublishDirective{Directive: r.directive()}
}

// recordAudit returns the audit of an accepted change.
func recordAudit(r *Record, action string, who audited, before Level) Effect {
	return RecordAudit{Audit: Audit{
		Rollout: r.Start.ID, At: who.at, Operator: who.operator, Action: action,
		Reason: who.reason, Before: before, After: r.Level,
	}}
}

// refused returns the audit of a refused change.
func refused(id identifier.RolloutID, action string, who audited, err error) []Effect {
	return []Effect{RecordAudit{Audit: Audit{
		Rollout: id, At: who.at, Operator: who.operator, Action: action, Reason: who.reason, Refused: err.Error(),
	}}}
}
