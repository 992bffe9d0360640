package reducer

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// Bounds of the configuration. The design size is 2,100 changes a day.
const (
	// MaxDocumentBytes bounds the fleet document, in bytes: 4,000 backend
	// servers at up to 512 bytes each, and the same size again for the rest.
	MaxDocumentBytes = 4 << 20
	// MaxStoredOutcomes bounds the change ids that are stored with their
	// outcome: two days of changes at the design size. A change that is sent
	// again later still cannot take effect twice, because its base is no longer
	// the current revision; it gets a Conflict.
	MaxStoredOutcomes = 2 * 2100
	// MaxReasonBytes bounds the reason that an operator gives, in bytes.
	MaxReasonBytes = 1024
	// MaxChangeIDBytes bounds a change id, in bytes.
	MaxChangeIDBytes = 128
)

// configuration is the current fleet document and the outcomes of the latest
// changes.
type configuration struct {
	revision identifier.Revision
	document json.RawMessage
	since    time.Time
	// outcomes holds the latest outcomes, oldest first.
	outcomes []storedOutcome
	// outcomeByChange maps change ids to their outcomes.
	outcomeByChange map[identifier.ChangeID]storedOutcome
}

// digest identifies the content of a change.
type digest [sha256.Size]byte

// storedOutcome is the outcome of one change.
type storedOutcome struct {
	change  identifier.ChangeID
	digest  digest
	outcome Outcome
}

// storeOutcome stores an outcome and drops the oldest one beyond
// MaxStoredOutcomes.
func (c *configuration) storeOutcome(o storedOutcome) {
	if c.outcomeByChange == nil {
		c.outcomeByChange = make(map[identifier.ChangeID]storedOutcome)
	}
	c.outcomes = append(c.outcomes, o)
	c.outcomeByChange[o.change] = o
	if len(c.outcomes) > MaxStoredOutcomes {
		delete(c.outcomeByChange, c.outcomes[0].change)
		c.outcomes = c.outcomes[1:]
	}
}

// change applies p if it was made against the current revision.
func (s *State) change(p change) []Effect {
	c := &s.configuration
	if refused, invalid := p.validate(); invalid {
		return s.refuseChange(p, refused)
	}
	if earlier, ok := c.outcomeByChange[p.id]; ok {
		return s.answerResend(p, earlier)
	}
	document, outcome := c.decide(p)
	record := p.record()
	var effects []Effect
	if accepted, ok := outcome.(Accepted); ok {
		record.setChanges(c.document, document)
		c.revision, c.document, c.since = accepted.Revision, document, p.at
		effects = append(effects, PublishConfiguration{Revision: c.revision, Document: c.document})
	} else {
		record.Problem = outcome.Err().Error()
	}
	record.Revision = c.revision
	c.storeOutcome(storedOutcome{change: p.id, digest: p.digest(), outcome: outcome})
	return append(effects, s.writeAudit(record), Answer{ChangeID: p.id, Outcome: outcome})
}

// answerResend answers a change id that was used before: with the first outcome
// if the content is the same, and with a refusal otherwise.
func (s *State) answerResend(p change, earlier storedOutcome) []Effect {
	if earlier.digest == p.digest() {
		return []Effect{Answer{ChangeID: p.id, Outcome: markResent(earlier.outcome)}}
	}
	return s.refuseChange(p, refusalOfReusedID(p.id))
}

// refusalOfReusedID returns the refusal of a change id that was used for
// another change.
func refusalOfReusedID(id identifier.ChangeID) Refused {
	return Refused{
		Kind:    refuser.KeyReused,
		Problem: fmt.Sprintf("change id %q was used for another change", id),
		Remedy:  "send this change under a new change id",
	}
}

// refuseChange records and answers a refusal. The outcome is not stored,
// because a resent change is refused again in the same way.
func (s *State) refuseChange(p change, outcome Refused) []Effect {
	record := p.record()
	record.Revision = s.configuration.revision
	record.Problem = outcome.Problem
	return []Effect{s.writeAudit(record), Answer{ChangeID: p.id, Outcome: outcome}}
}

// decide returns the outcome of a change that was not seen before and, if the
// change is accepted, the new document.
func (c *configuration) decide(p change) (json.RawMessage, Outcome) {
	if p.base != c.revision {
		return nil, Conflict{Base: p.base, Present: c.revision}
	}
	document, err := p.edit(c.document)
	switch {
	case err != nil:
		problem, remedy, _ := strings.Cut(err.Error(), ": ")
		return nil, Refused{Kind: refuser.Malformed, Problem: problem, Remedy: remedy}
	case len(document) > MaxDocumentBytes:
		return nil, Refused{Kind: refuser.TooLarge, Problem: "the fleet document is too large",
			Remedy: fmt.Sprintf("shorten it to %d bytes", MaxDocumentBytes)}
	default:
		return document, Accepted{Revision: c.revision + 1}
	}
}
