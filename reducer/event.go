package reducer

import (
	"encoding/json"
	"time"

	"cyclamenhub.org/identifier"
)

// Event is something that changes the replicated state.
type Event interface{ isEvent() }

// ChangeConfiguration replaces the fleet document.
type ChangeConfiguration struct {
	// ChangeID is the same in every resend of the change.
	ChangeID identifier.ChangeID `json:"changeId"`
	// Base is the revision the change was made against; 0 is the empty state.
	Base identifier.Revision `json:"base"`
	// Operator made the change.
	Operator identifier.Operator `json:"operator"`
	// Reason says why, in the operator's words.
	Reason string `json:"reason,omitempty"`
	// Document is the whole fleet document, already checked.
	Document json.RawMessage `json:"document"`
	// At is when the change was proposed.
	At time.Time `json:"at"`
}

// AddException adds one exception to the present fleet document.
type AddException struct {
	ChangeID identifier.ChangeID `json:"changeId"`
	Base     identifier.Revision `json:"base"`
	Operator identifier.Operator `json:"operator"`
	Reason   string              `json:"reason,omitempty"`
	// Exception is a configurer.Exception in JSON, already checked against the
	// base.
	Exception json.RawMessage `json:"exception"`
	At        time.Time       `json:"at"`
}

// RemoveException removes one exception from the present fleet document.
type RemoveException struct {
	ChangeID identifier.ChangeID `json:"changeId"`
	Base     identifier.Revision `json:"base"`
	Operator identifier.Operator `json:"operator"`
	Reason   string              `json:"reason,omitempty"`
	// Name is that of the exception.
	Name string    `json:"name"`
	At   time.Time `json:"at"`
}

// RecordAction puts an operator's action that changes no configuration on the
// audit trail, before it is taken.
type RecordAction struct {
	// Action is the kind of action, as in "removeMember".
	Action string `json:"action"`
	// Detail tells what the action is taken on.
	Detail   string              `json:"detail"`
	ChangeID identifier.ChangeID `json:"changeId"`
	Operator identifier.Operator `json:"operator"`
	Reason   string              `json:"reason,omitempty"`
	At       time.Time           `json:"at"`
}

// RecordRefusal puts a change that was refused before it was proposed on the
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
