package reducer

import (
	"encoding/json"
	"time"

	"cyclamenhub.org/identifier"
)

// Event is a change of the replicated state.
type Event interface{ isEvent() }

// ChangeConfiguration replaces the fleet document.
type ChangeConfiguration struct {
	// ChangeID stays the same when the change is sent again.
	ChangeID identifier.ChangeID `json:"changeId"`
	// Base is the revision against which the change was made; 0 is the empty
	// state.
	Base identifier.Revision `json:"base"`
	// Operator is the operator who made the change.
	Operator identifier.Operator `json:"operator"`
	// Reason is the reason that the operator gave.
	Reason string `json:"reason,omitempty"`
	// Document is the full fleet document. The proposer has checked it.
	Document json.RawMessage `json:"document"`
	// At is when the change was proposed.
	At time.Time `json:"at"`
}

// AddException adds one exception to the current fleet document.
type AddException struct {
	ChangeID identifier.ChangeID `json:"changeId"`
	Base     identifier.Revision `json:"base"`
	Operator identifier.Operator `json:"operator"`
	Reason   string              `json:"reason,omitempty"`
	// Exception is a configurer.Exception in JSON. The proposer has checked it
	// against the base.
	Exception json.RawMessage `json:"exception"`
	At        time.Time       `json:"at"`
}

// RemoveException removes one exception from the current fleet document.
type RemoveException struct {
	ChangeID identifier.ChangeID `json:"changeId"`
	Base     identifier.Revision `json:"base"`
	Operator identifier.Operator `json:"operator"`
	Reason   string              `json:"reason,omitempty"`
	// Name is the name of the exception.
	Name string    `json:"name"`
	At   time.Time `json:"at"`
}

// RecordAction adds an operator's action that changes no configuration to the
// audit trail, before the action is performed.
type RecordAction struct {
	// Action is the kind of action, as in "removeMember".
	Action string `json:"action"`
	// Detail names the object of the action.
	Detail   string              `json:"detail"`
	ChangeID identifier.ChangeID `json:"changeId"`
	Operator identifier.Operator `json:"operator"`
	Reason   string              `json:"reason,omitempty"`
	At       time.Time           `json:"at"`
}

// RecordRefusal adds a change that was refused before it was proposed to the
// audit trail.
type RecordRefusal struct {
	// Action is the kind of change, as in "addException".
	Action   string              `json:"action"`
	ChangeID identifier.ChangeID `json:"changeId"`
	Base     identifier.Revision `json:"base"`
	Operator identifier.Operator `json:"operator"`
	Reason   string              `json:"reason,omitempty"`
	// Problem says why the change was refused.
	Problem string    `json:"problem"`
	At      time.Time `json:"at"`
}

func (ChangeConfiguration) isEvent() {}
func (AddException) isEvent()        {}
func (RemoveException) isEvent()     {}
func (RecordAction) isEvent()        {}
func (RecordRefusal) isEvent()       {}
