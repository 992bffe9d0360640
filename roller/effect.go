package roller

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Effect is what a Book asks to be done.
type Effect interface{ isRolloutEffect() }

// PublishDirective asks for a directive to be sent to all entry hosts.
type PublishDirective struct{ Directive Directive }

// Notify asks for the operators to be told.
type Notify struct{ Notice Notice }

// RecordAudit asks for an audit record.
type RecordAudit struct{ Audit Audit }

// ReleaseVersion says that a version's servers are no longer needed.
type ReleaseVersion struct {
	Service identifier.Service
	Version identifier.Version
}

func (PublishDirective) isRolloutEffect() {}
func (Notify) isRolloutEffect()           {}
func (RecordAudit) isRolloutEffect()      {}
func (ReleaseVersion) isRolloutEffect()   {}

// Notice tells that a rollout moved, is done or was reverted.
type Notice struct {
	Rollout identifier.RolloutID `json:"rollout"`
	Service identifier.Service   `json:"service"`
	From    identifier.Version   `json:"from"`
	To      identifier.Version   `json:"to"`
	Phase   Phase                `json:"phase"`
	At      time.Time            `json:"at"`
	// Cause says in words why the phase was reached.
	Cause   string  `json:"cause"`
	Summary Summary `json:"summary"`
}

// Audit records one change or refused change of a rollout.
type Audit struct {
	Rollout identifier.RolloutID `json:"rollout"`
	At      time.Time            `json:"at"`
	// Operator is empty where the system acted by itself.
	Operator identifier.Operator `json:"operator,omitempty"`
	// Action names the event, as in "startRollout".
	Action string `json:"action"`
	Reason string `json:"reason,omitempty"`
	// Refused is the error of a refused change.
	Refused string `json:"refused,omitempty"`
	// Before and After are the shares around the change.
	Before Level `json:"before"`
	After  Level `json:"after"`
}
