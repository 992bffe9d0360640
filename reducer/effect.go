package reducer

import (
	"encoding/json"

	"cyclamenhub.org/identifier"
)

// Effect is something to be done because of an event.
type Effect interface{ isEffect() }

// PublishConfiguration hands an accepted revision to distribution.
type PublishConfiguration struct {
	Revision identifier.Revision
	Document json.RawMessage
}

// Answer hands the outcome of an event to its proposer.
type Answer struct {
	ChangeID identifier.ChangeID
	Outcome  Outcome
}

// WriteAudit hands an audit record to the process's log.
type WriteAudit struct{ Record AuditRecord }

func (PublishConfiguration) isEffect() {}
func (Answer) isEffect()               {}
func (WriteAudit) isEffect()           {}
