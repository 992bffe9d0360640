package reducer

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
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

// changeConfiguration accepts ev if it was made against the present revision.
func (s *State) changeConfiguration(ev ChangeConfiguration) []Effect {
	c := &s.configuration
	d := digestOf(ev)
	if earlier, ok := c.byChange[ev.ChangeID]; ok {
		return s.answerAgain(ev, earlier, d)
	}
	outcome := c.judge(ev)
	var effects []Effect
	record := auditOfChange(ev)
	if accepted, ok := outcome.(Accepted); ok {
		record.setDocuments(c.document, ev.Document)
		record.Revision = accepted.Revision
		c.revision, c.document, c.since = accepted.Revision, ev.Document, ev.At
		effects = append(effects, PublishConfiguration{Revision: c.revision, Document: c.document})
	} else {
		record.Revision = c.revision
		record.Problem = outcome.Err().Error()
	}
	c.remember(answer{change: ev.ChangeID, digest: d, outcome: outcome})
	return append(effects, s.writeAudit(record), Answer{ChangeID: ev.ChangeID, Outcome: outcome})
}

// answerAgain answers a change id that was seen before: with the first outcome
// where the content is the same, and else with a refusal.
func (s *State) answerAgain(ev ChangeConfiguration, earlier answer, d digest) []Effect {
	if earlier.digest == d {
		return []Effect{Answer{ChangeID: ev.ChangeID, Outcome: markResent(earlier.outcome)}}
	}
	outcome := Refused{
		Kind:    refuser.KeyReused,
		Problem: fmt.Sprintf("change id %q was used for another change", ev.ChangeID),
		Remedy:  "send this change under a new change id",
	}
	record := auditOfChange(ev)
	record.Revision = s.configuration.revision
	record.Problem = outcome.Problem
	return []Effect{s.writeAudit(record), Answer{ChangeID: ev.ChangeID, Outcome: outcome}}
}

// judge decides about a change that was not seen before.
func (c *configuration) judge(ev ChangeConfiguration) Outcome {
	switch {
	case ev.ChangeID == "" || len(ev.ChangeID) > MaxChangeIDBytes:
		return Refused{Kind: refuser.Malformed, Problem: "the change id is empty or too long",
			Remedy: fmt.Sprintf("send one of at most %d bytes", MaxChangeIDBytes)}
	case len(ev.Reason) > MaxReasonBytes:
		return Refused{Kind: refuser.TooLarge, Problem: "the reason is too long",
			Remedy: fmt.Sprintf("shorten it to %d bytes", MaxReasonBytes)}
	case len(ev.Document) > MaxDocumentBytes:
		return Refused{Kind: refuser.TooLarge, Problem: "the fleet document is too large",
			Remedy: fmt.Sprintf("shorten it to %d bytes", MaxDocumentBytes)}
	case !isObject(ev.Document):
		return Refused{Kind: refuser.Malformed, Problem: "the fleet document is no JSON object",
			Remedy: "send the document that 'cyclamenctl config get' prints, with the change made"}
	case ev.Base != c.revision:
		return Conflict{Base: ev.Base, Present: c.revision}
	default:
		return Accepted{Revision: c.revision + 1}
	}
}

// isObject reports whether b is one valid JSON object.
func isObject(b []byte) bool {
	return json.Valid(b) && bytes.HasPrefix(bytes.TrimSpace(b), []byte("{"))
}

// digestOf returns the digest of what ev changes. The time is left out, since a
// resend is proposed later.
func digestOf(ev ChangeConfiguration) digest {
	h := sha256.New()
	var base [8]byte
	binary.BigEndian.PutUint64(base[:], uint64(ev.Base))
	h.Write(base[:])
	for _, field := range [][]byte{[]byte(ev.Operator), []byte(ev.Reason), ev.Document} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(field)))
		h.Write(n[:])
		h.Write(field)
	}
	return digest(h.Sum(nil))
}
