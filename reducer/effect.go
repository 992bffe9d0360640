package reducer

import (
	"encoding/json"

	"cyclamenhub.org/identifier"
)

// Effect is an action that results from an event. Machine.Perform carries it
// out.
type Effect interface{ isEffect() }

// PublishConfiguration passes an accepted revision to the distributor.
type PublishConfiguration struct {
	Revision identifier.Revision
	Document json.RawMessage
}

// Answer returns the outcome of an event to its proposer.
type Answer struct {
	ChangeID identifier.ChangeID
	Outcome  Outcome
}

// WriteAudit writes an audit record to the log of the process.
type WriteAudit struct{ Record AuditRecord }

func (PublishConfiguration) isEffect() {}
func (Answer) isEffect()               {}
func (WriteAudit) isEffect()           {}
