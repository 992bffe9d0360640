package roller

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Event is a change that a State applies. Events are stored in the replicated
// log, so all replicas apply the same events in the same order.
type Event interface{ isRolloutEvent() }

// StartRollout begins to move a service to another version.
type StartRollout struct {
	ID      identifier.RolloutID `json:"id"`
	Service identifier.Service   `json:"service"`
	From    identifier.Version   `json:"from"`
	To      identifier.Version   `json:"to"`
	At      time.Time            `json:"at"`
	// Deadline is the time by which all traffic must have moved.
	Deadline time.Time `json:"deadline"`
	// Watch is how long the old version stays loaded after all traffic has
	// moved.
	Watch time.Duration `json:"watch"`
	// FirstLevel is the level of the first stage.
	FirstLevel Level `json:"firstLevel"`
	// Cutover is the time at which all traffic moves in one step from the first
	// level. It is set if the time is too short for stages, for example if the
	// total number of requests on an unproven version is limited over the whole
	// rollout. The zero value means that traffic moves in stages.
	//
	// Such a rollout ends Watch after Deadline, whenever its traffic moved.
	Cutover time.Time `json:"leap,omitzero"`
	// Exposure bounds the requests that the candidate may get in a rollout with
	// a Cutover. The zero value keeps FirstLevel until then.
	Exposure Exposure `json:"exposure,omitzero"`
	// InFlight is the maximum number of in-flight requests on the candidate per
	// host. It applies up to a share of 10%.
	InFlight int `json:"inFlight"`
	Hosts    int `json:"hosts"`
	// Routes is the number of routes that the tests distinguish.
	Routes     int                 `json:"routes"`
	Thresholds []Threshold         `json:"thresholds,omitempty"`
	Operator   identifier.Operator `json:"operator"`
	Reason     string              `json:"reason"`
}

// isResentAs reports whether o repeats the same start. The times may differ,
// since they are set when the start is proposed.
func (e *StartRollout) isResentAs(o *StartRollout) bool {
	return e.Service == o.Service && e.From == o.From && e.To == o.To &&
		e.Operator == o.Operator && e.Reason == o.Reason && e.Watch == o.Watch
}

// StageReached changes the share of a running rollout.
type StageReached struct {
	ID    identifier.RolloutID `json:"id"`
	Level Level                `json:"level"`
	At    time.Time            `json:"at"`
	// Summary holds the evidence on which the level was reached.
	Summary Summary `json:"summary,omitzero"`
}

// VerdictReached reverts a rollout because its candidate is bad.
type VerdictReached struct {
	ID      identifier.RolloutID `json:"id"`
	Verdict Verdict              `json:"verdict"`
	// Reporter is the host whose own counters led to the verdict. It is empty
	// if the merged counters of all hosts did.
	Reporter identifier.Host `json:"reporter,omitempty"`
	Summary  Summary         `json:"summary"`
	At       time.Time       `json:"at"`
}

// RevertRollout reverts a rollout at an operator's request.
type RevertRollout struct {
	ID       identifier.RolloutID `json:"id"`
	Operator identifier.Operator  `json:"operator"`
	Reason   string               `json:"reason"`
	At       time.Time            `json:"at"`
}

// WatchEnded ends the watch period and the rollout.
type WatchEnded struct {
	ID      identifier.RolloutID `json:"id"`
	Summary Summary              `json:"summary"`
	At      time.Time            `json:"at"`
}

func (StartRollout) isRolloutEvent()   {}
func (StageReached) isRolloutEvent()   {}
func (VerdictReached) isRolloutEvent() {}
func (RevertRollout) isRolloutEvent()  {}
func (WatchEnded) isRolloutEvent()     {}

// Summary holds the evidence that a notice contains.
type Summary struct {
	Control   Tally `json:"control"`
	Candidate Tally `json:"candidate"`
}

// Summarize returns the totals of the cells for a notice.
func Summarize(cs Cells) Summary {
	return Summary{Control: cs.Total(Control), Candidate: cs.Total(Candidate)}
}
