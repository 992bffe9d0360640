package roller

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Effect is an action that a State requests.
type Effect interface{ isRolloutEffect() }

// PublishDirective requests that a directive be sent to all entry hosts.
type PublishDirective struct{ Directive Directive }

// Notify requests that the operators be notified.
type Notify struct{ Notice Notice }

// RecordAudit requests an audit record.
type RecordAudit struct{ Audit Audit }

// ReleaseVersion reports that a version's servers are no longer needed.
type ReleaseVersion struct {
	Service identifier.Service
	Version identifier.Version
}

func (PublishDirective) isRolloutEffect() {}
func (Notify) isRolloutEffect()           {}
func (RecordAudit) isRolloutEffect()      {}
func (ReleaseVersion) isRolloutEffect()   {}

// Notice reports that a rollout has moved all traffic, is done or was reverted.
type Notice struct {
	Rollout identifier.RolloutID `json:"rollout"`
	Service identifier.Service   `json:"service"`
	From    identifier.Version   `json:"from"`
	To      identifier.Version   `json:"to"`
	Phase   Phase                `json:"phase"`
	At      time.Time            `json:"at"`
	// Cause describes why the phase was reached.
	Cause   string  `json:"cause"`
	Summary Summary `json:"summary"`
}

// Audit records one accepted or refused change of a rollout.
type Audit struct {
	Rollout identifier.RolloutID `json:"rollout"`
	At      time.Time            `json:"at"`
	// Operator is empty if no operator made the change.
	Operator identifier.Operator `json:"operator,omitempty"`
	// Action is the name of the event, such as "startRollout".
	Action string `json:"action"`
	Reason string `json:"reason,omitempty"`
	// Refused is the error text of a refused change.
	Refused string `json:"refused,omitempty"`
	// Before and After are the shares before and after the change.
	Before Level `json:"before"`
	After  Level `json:"after"`
}
