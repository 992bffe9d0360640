package reducer

import (
	"fmt"

	"cyclamenhub.org/evacuator"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// Evacuation starts or ends the evacuation of a failure domain.
type Evacuation struct{ Event evacuator.Event }

// PublishEvacuations passes the evacuated failure domains to the distributor.
type PublishEvacuations struct{ Book evacuator.Book }

func (Evacuation) isEvent()          {}
func (PublishEvacuations) isEffect() {}

// changeEvacuation applies ev. A request that changes nothing is accepted as
// resent and leaves no audit record. One with a change id that was used before gets
// the first outcome, so that a request that is sent again late does not undo a later
// one.
func (s *State) changeEvacuation(ev Evacuation) []Effect {
	action, domain, request := describeEvacuation(ev)
	c := &s.configuration
	record := AuditRecord{
		Action: action, Detail: string(domain), ChangeID: request.ChangeID, Operator: request.Operator, At: request.At,
		Reason: request.Reason, Base: c.revision, Revision: c.revision,
	}
	sum := digestOfFields(action, string(domain), string(request.Operator), request.Reason)
	if earlier, ok := c.outcomeByChange[request.ChangeID]; ok && request.ChangeID != "" {
		return s.answerEvacuationAgain(record, sum, earlier)
	}
	changed := s.evacuated.Apply(ev.Event)
	if start, ok := ev.Event.(evacuator.Start); ok && !s.evacuated.Includes(start.Domain) {
		refused := Refused{Kind: refuser.TooLarge, Problem: "too many failure domains are evacuated", Remedy: "end an evacuation first"}
		record.Problem = refused.Problem
		return []Effect{s.writeAudit(record), Answer{ChangeID: request.ChangeID, Outcome: refused}}
	}
	outcome := Accepted{Revision: c.revision, Resent: !changed}
	if request.ChangeID != "" {
		c.storeOutcome(storedOutcome{change: request.ChangeID, digest: sum, outcome: outcome})
	}
	answer := Answer{ChangeID: request.ChangeID, Outcome: outcome}
	if !changed {
		return []Effect{answer}
	}
	return []Effect{PublishEvacuations{Book: s.evacuated}, s.writeAudit(record), answer}
}

// answerEvacuationAgain answers a change id that was used before: with the first
// outcome if the content is the same, and with a refusal otherwise.
func (s *State) answerEvacuationAgain(record AuditRecord, sum digest, earlier storedOutcome) []Effect {
	if earlier.digest == sum {
		return []Effect{Answer{ChangeID: record.ChangeID, Outcome: markResent(earlier.outcome)}}
	}
	refused := refusalOfReusedID(record.ChangeID)
	record.Problem = refused.Problem
	return []Effect{s.writeAudit(record), Answer{ChangeID: record.ChangeID, Outcome: refused}}
}

// describeEvacuation returns the action of ev in the audit trail, its failure
// domain and its request.
func describeEvacuation(ev Evacuation) (string, identifier.FailureDomain, evacuator.Request) {
	switch e := ev.Event.(type) {
	case evacuator.Start:
		return typeStartEvacuation, e.Domain, e.Request
	case evacuator.End:
		return typeEndEvacuation, e.Domain, e.Request
	default:
		panic(fmt.Sprintf("event %T has no case in describeEvacuation", e))
	}
}

// encodeEvacuation returns ev in an envelope.
func encodeEvacuation(ev Evacuation) ([]byte, error) {
	action, _, _ := describeEvacuation(ev)
	return encode(action, ev.Event)
}

// decodeEvacuation decodes an envelope that encodeEvacuation returned.
func decodeEvacuation(e envelope) (Event, error) {
	if e.Type == typeStartEvacuation {
		ev, err := decode[evacuator.Start](e)
		return Evacuation{ev}, err
	}
	ev, err := decode[evacuator.End](e)
	return Evacuation{ev}, err
}
