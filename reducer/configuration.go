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
	// MaxDocumentBytes bounds the fleet document: 4,000 backend servers at up
	// to 512 bytes each, and as much again for the rest.
	MaxDocumentBytes = 4 << 20
	// MaxAnswers is how many change ids are remembered with their outcome: two
	// days of changes. A change resent later still cannot take effect twice,
	// since its base has passed; it gets a Conflict.
	MaxAnswers = 2 * 2100
	// MaxReasonBytes bounds a written reason.
	MaxReasonBytes = 1024
	// MaxChangeIDBytes bounds a change id.
	MaxChangeIDBytes = 128
)

// configuration is the present fleet document and the outcomes of the newest
// changes.
type configuration struct {
	revision identifier.Revision
	document json.RawMessage
	since    time.Time
	// answers holds the newest outcomes, oldest first.
	answers []answer
	// byChange finds the outcome of a change id.
	byChange map[identifier.ChangeID]answer
}

// digest identifies the content of a change.
type digest [sha256.Size]byte

// answer is the outcome of one change.
type answer struct {
	change  identifier.ChangeID
	digest  digest
	outcome Outcome
}

// remember stores an answer and forgets the oldest beyond MaxAnswers.
func (c *configuration) remember(a answer) {
	if c.byChange == nil {
		c.byChange = make(map[identifier.ChangeID]answer)
	}
	c.answers = append(c.answers, a)
	c.byChange[a.change] = a
	if len(c.answers) > MaxAnswers {
		delete(c.byChange, c.answers[0].change)
		c.answers = c.answers[1:]
	}
}

// change accepts p if it was made against the present revision.
func (s *State) change(p change) []Effect {
	c := &s.configuration
	if refused, bad := p.inspect(); bad {
		return s.refuseChange(p, refused)
	}
	if earlier, ok := c.byChange[p.id]; ok {
		return s.answerAgain(p, earlier)
	}
	document, outcome := c.judge(p)
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
	c.remember(answer{change: p.id, digest: p.digest(), outcome: outcome})
	return append(effects, s.writeAudit(record), Answer{ChangeID: p.id, Outcome: outcome})
}

// answerAgain answers a change id that was seen before: with the first outcome
// where the content is the same, and else with a refusal.
func (s *State) answerAgain(p change, earlier answer) []Effect {
	if earlier.digest == p.digest() {
		return []Effect{Answer{ChangeID: p.id, Outcome: markResent(earlier.outcome)}}
	}
	return s.refuseChange(p, reusedID(p.id))
}

// reusedID refuses a change id that was used for another change.
func reusedID(id identifier.ChangeID) Refused {
	return Refused{
		Kind:    refuser.KeyReused,
		Problem: fmt.Sprintf("change id %q was used for another change", id),
		Remedy:  "send this change under a new change id",
	}
}

// refuseChange records and answers a refusal that need not be remembered, since
// every resend is refused alike.
func (s *State) refuseChange(p change, outcome Refused) []Effect {
	record := p.record()
	record.Revision = s.configuration.revision
	record.Problem = outcome.Problem
	return []Effect{s.writeAudit(record), Answer{ChangeID: p.id, Outcome: outcome}}
}

// judge decides about a change that was not seen before, and returns the
// document that it leads to if it is accepted.
func (c *configuration) judge(p change) (json.RawMessage, Outcome) {
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
