package roller

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Phase is where a rollout stands.
type Phase string

// The phases.
const (
	// Staged rollouts move traffic step by step.
	Staged Phase = "staged"
	// Watched rollouts have moved all traffic and keep the old version loaded.
	Watched Phase = "watched"
	// Done rollouts are over; the old version may be unloaded.
	Done Phase = "done"
	// Reverted rollouts are over; the candidate was taken back.
	Reverted Phase = "reverted"
)

// Ended reports whether no event can change the rollout any more.
func (p Phase) Ended() bool { return p == Done || p == Reverted }

// Record is the replicated state of one rollout.
type Record struct {
	Start StartRollout `json:"start"`
	Phase Phase        `json:"phase"`
	Level Level        `json:"level"`
	// Sequence numbers the record's last directive.
	Sequence uint64 `json:"sequence"`
	// MovedAt is when the last stage was first reached.
	MovedAt time.Time `json:"movedAt,omitzero"`
	EndedAt time.Time `json:"endedAt,omitzero"`
	// Cause says why the rollout ended.
	Cause   string   `json:"cause,omitempty"`
	Verdict *Verdict `json:"verdict,omitempty"`
	Summary Summary  `json:"summary"`
}

// end closes the record.
func (r *Record) end(p Phase, at time.Time, cause string, s Summary) {
	r.Phase, r.EndedAt, r.Cause, r.Summary = p, at, cause, s
	if p == Reverted {
		r.Level = NoLevel
	}
}

// notice returns the notice of the record's present phase.
func (r *Record) notice(at time.Time, cause string) Notify {
	return Notify{Notice: Notice{
		Rollout: r.Start.ID, Service: r.Start.Service, From: r.Start.From, To: r.Start.To,
		Phase: r.Phase, At: at, Cause: cause, Summary: r.Summary,
	}}
}

// directive returns what the hosts must obey while the record is as it is.
func (r *Record) directive() Directive {
	d := Directive{Service: r.Start.Service, Sequence: r.Sequence, Control: r.Start.From}
	switch r.Phase {
	case Done:
		d.Control, d.Replaces = r.Start.To, r.Start.From
		return d
	case Reverted:
		return d
	case Staged, Watched:
	}
	d.Rollout, d.Candidate, d.Level = r.Start.ID, r.Start.To, r.Level
	d.Hosts, d.Thresholds = r.Start.Hosts, r.Start.Thresholds
	if r.Level <= highestCappedLevel {
		d.InFlight = r.Start.InFlight
	}
	return d
}

// TransitionError refuses an event that the rollout's phase does not allow.
type TransitionError struct {
	Rollout identifier.RolloutID
	Phase   Phase
	Action  string
}

// Error names the remedy.
func (e *TransitionError) Error() string {
	return "rollout " + string(e.Rollout) + " is " + string(e.Phase) + " and takes no " + e.Action +
		": start another rollout under a new id"
}

// UnknownError refuses an event for a rollout that does not exist.
type UnknownError struct{ Rollout identifier.RolloutID }

// Error names the remedy.
func (e *UnknownError) Error() string {
	return "rollout " + string(e.Rollout) + " is unknown: list the rollouts and correct the id"
}

// BusyError refuses a rollout of a service that another one is moving.
type BusyError struct {
	Service identifier.Service
	Running identifier.RolloutID
}

// Error names the remedy.
func (e *BusyError) Error() string {
	return "service " + string(e.Service) + " is moved by rollout " + string(e.Running) +
		": wait until it has ended, or revert it"
}

// PlanError refuses a rollout that contradicts itself or the present state.
type PlanError struct {
	Problem string
	Remedy  string
}

// Error names the remedy.
func (e *PlanError) Error() string { return e.Problem + ": " + e.Remedy }
