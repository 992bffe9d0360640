package roller

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Phase is the phase of a rollout.
type Phase string

// The phases.
const (
	// Staged rollouts move traffic in stages.
	Staged Phase = "staged"
	// Watched rollouts have moved all traffic and keep the old version loaded.
	Watched Phase = "watched"
	// Done rollouts have ended; the old version may be unloaded.
	Done Phase = "done"
	// Reverted rollouts have ended; the candidate was withdrawn.
	Reverted Phase = "reverted"
)

// Ended reports whether the rollout has ended and can no longer change.
func (p Phase) Ended() bool { return p == Done || p == Reverted }

// Record is the replicated state of one rollout.
type Record struct {
	Start StartRollout `json:"start"`
	Phase Phase        `json:"phase"`
	Level Level        `json:"level"`
	// Sequence is the sequence number of the record's last directive.
	Sequence uint64 `json:"sequence"`
	// MovedAt is when all traffic had moved for the first time.
	MovedAt time.Time `json:"movedAt,omitzero"`
	EndedAt time.Time `json:"endedAt,omitzero"`
	// Cause describes why the rollout ended.
	Cause   string   `json:"cause,omitempty"`
	Verdict *Verdict `json:"verdict,omitempty"`
	Summary Summary  `json:"summary"`
}

// end marks the rollout as ended.
func (r *Record) end(p Phase, at time.Time, cause string, s Summary) {
	r.Phase, r.EndedAt, r.Cause, r.Summary = p, at, cause, s
	if p == Reverted {
		r.Level = NoLevel
	}
}

// notice returns the notice of the record's current phase.
func (r *Record) notice(at time.Time, cause string) Notify {
	return Notify{Notice: Notice{
		Rollout: r.Start.ID, Service: r.Start.Service, From: r.Start.From, To: r.Start.To,
		Phase: r.Phase, At: at, Cause: cause, Summary: r.Summary,
	}}
}

// directive returns the directive that follows from the record's state.
func (r *Record) directive() Directive {
	d := Directive{Service: r.Start.Service, Sequence: r.Sequence, Control: r.Start.From}
	switch r.Phase {
	case Done:
		d.Control, d.Replaces = r.Start.To, r.Start.From
		return d
	case Reverted:
		d.Withdrawn = r.Start.To
		return d
	case Staged, Watched:
	}
	d.Rollout, d.Candidate, d.Level = r.Start.ID, r.Start.To, r.Level
	d.Hosts, d.Thresholds, d.ReportAll = r.Start.Hosts, r.Start.Thresholds, r.Start.hasCutover()
	if r.Level <= highestCappedLevel {
		d.InFlight = r.Start.InFlight
	}
	return d
}

// TransitionError is returned for an event that the rollout's phase does not
// allow.
type TransitionError struct {
	Rollout identifier.RolloutID
	Phase   Phase
	Action  string
}

// Error describes the problem and its remedy.
func (e *TransitionError) Error() string {
	return "rollout " + string(e.Rollout) + " is " + string(e.Phase) + " and takes no " + e.Action +
		": start another rollout under a new id"
}

// UnknownError is returned for an event of a rollout that does not exist.
type UnknownError struct{ Rollout identifier.RolloutID }

// Error describes the problem and its remedy.
func (e *UnknownError) Error() string {
	return "rollout " + string(e.Rollout) + " is unknown: list the rollouts and correct the id"
}

// BusyError is returned for the start of a rollout of a service that another
// rollout is moving.
type BusyError struct {
	Service identifier.Service
	Running identifier.RolloutID
}

// Error describes the problem and its remedy.
func (e *BusyError) Error() string {
	return "service " + string(e.Service) + " is moved by rollout " + string(e.Running) +
		": wait until it has ended, or revert it"
}

// PlanError is returned for a start that contradicts itself or the current
// state.
type PlanError struct {
	Problem string
	Remedy  string
}

// Error describes the problem and its remedy.
func (e *PlanError) Error() string { return e.Problem + ": " + e.Remedy }
