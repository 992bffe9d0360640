package roller

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Event is what a Book applies. The replicated log carries each one, so all
// replicas apply the same events in the same order.
type Event interface{ isRolloutEvent() }

// StartRollout begins to move a service to another version.
type StartRollout struct {
	ID      identifier.RolloutID `json:"id"`
	Service identifier.Service   `json:"service"`
	From    identifier.Version   `json:"from"`
	To      identifier.Version   `json:"to"`
	At      time.Time            `json:"at"`
	// Deadline is when all traffic must have moved.
	Deadline time.Time `json:"deadline"`
	// Watch is how long the old version stays loaded after that.
	Watch time.Duration `json:"watch"`
	// FirstLevel is the level of the first stage.
	FirstLevel Level `json:"firstLevel"`
	// Leap is when all traffic moves at once, from the first level. It is set
	// where the time is too short for stages, as when the requests of an unproven
	// version are bounded over the whole rollout; zero means stages.
	Leap time.Time `json:"leap,omitzero"`
	// InFlight bounds the requests on the candidate that each host has in
	// flight up to a share of 10%.
	InFlight int `json:"inFlight"`
	Hosts    int `json:"hosts"`
	// Routes is the number of routes that the tests tell apart.
	Routes     int                 `json:"routes"`
	Thresholds []Threshold         `json:"thresholds,omitempty"`
	Operator   identifier.Operator `json:"operator"`
	Reason     string              `json:"reason"`
}

// isResentAs reports whether o is the same start, sent again. The times may
// differ, since they are set when it is proposed.
func (e *StartRollout) isResentAs(o *StartRollout) bool {
	return e.Service == o.Service && e.From == o.From && e.To == o.To &&
		e.Operator == o.Operator && e.Reason == o.Reason && e.Watch == o.Watch
}

// StageReached changes the share of a running rollout.
type StageReached struct {
	ID    identifier.RolloutID `json:"id"`
	Level Level                `json:"level"`
	At    time.Time            `json:"at"`
}

// VerdictReached takes a bad version back.
type VerdictReached struct {
	ID      identifier.RolloutID `json:"id"`
	Verdict Verdict              `json:"verdict"`
	// Reporter is the host whose counters alone condemned the version, or empty
	// where those of all hosts did.
	Reporter identifier.Host `json:"reporter,omitempty"`
	Summary  Summary         `json:"summary"`
	At       time.Time       `json:"at"`
}

// RevertRollout takes a version back at an operator's wish.
type RevertRollout struct {
	ID       identifier.RolloutID `json:"id"`
	Operator identifier.Operator  `json:"operator"`
	Reason   string               `json:"reason"`
	At       time.Time            `json:"at"`
}

// WatchEnded ends the watch period, and with it the rollout.
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

// Summary is the evidence that a notice carries.
type Summary struct {
	Control   Tally `json:"control"`
	Candidate Tally `json:"candidate"`
}

// Summarize sums cells up for a notice.
func Summarize(cs Cells) Summary {
	return Summary{Control: cs.Total(Control), Candidate: cs.Total(Candidate)}
}
