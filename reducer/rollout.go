package reducer

import (
	"encoding/json"
	"fmt"
	"strings"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/roller"
)

// ChangeRollout carries an event of a rollout.
type ChangeRollout struct{ Event roller.Event }

// PublishRollouts hands the directives of all rollouts to distribution.
type PublishRollouts struct {
	// Sequence rises with every change of the directives.
	Sequence uint64
	Document []byte
}

// NotifyRollout hands a notice about a rollout to the operators.
type NotifyRollout struct{ Notice roller.Notice }

func (ChangeRollout) isEvent()    {}
func (PublishRollouts) isEffect() {}
func (NotifyRollout) isEffect()   {}

// MarshalJSON writes the event in its own form.
func (e ChangeRollout) MarshalJSON() ([]byte, error) { return roller.EncodeEvent(e.Event) }

// UnmarshalJSON reads what MarshalJSON writes.
func (e *ChangeRollout) UnmarshalJSON(b []byte) error {
	var err error
	e.Event, err = roller.DecodeEvent(b)
	return err
}

// changeRollout applies an event to the rollouts.
func (s *State) changeRollout(ev ChangeRollout) []Effect {
	effects, err := s.rollouts.Apply(ev.Event)
	out := make([]Effect, 0, len(effects)+1)
	for _, e := range effects {
		out = append(out, s.rolloutEffect(e)...)
	}
	answer := Answer{Outcome: Accepted{Revision: s.configuration.revision, Resent: len(effects) == 0}}
	if err != nil {
		problem, remedy, _ := strings.Cut(err.Error(), ": ")
		answer.Outcome = Refused{Kind: refuser.Conflict, Problem: problem, Remedy: remedy}
	}
	return append(out, answer)
}

// rolloutEffect returns what an effect of a rollout asks of this state's
// owners.
func (s *State) rolloutEffect(e roller.Effect) []Effect {
	switch e := e.(type) {
	case roller.PublishDirective:
		return []Effect{s.publishRollouts()}
	case roller.Notify:
		return []Effect{NotifyRollout{Notice: e.Notice}}
	case roller.RecordAudit:
		return []Effect{s.writeAudit(s.rolloutRecord(e.Audit))}
	case roller.ReleaseVersion:
		// Operators take the servers out of the fleet document.
		return nil
	default:
		panic(fmt.Sprintf("rollout effect %T has no case", e))
	}
}

// publishRollouts returns the effect that publishes all directives.
func (s *State) publishRollouts() Effect {
	return PublishRollouts{Sequence: s.rollouts.Sequence, Document: roller.EncodeDirectives(s.rollouts.Directives())}
}

// rolloutRecord returns the audit record of a rollout's change.
func (s *State) rolloutRecord(a roller.Audit) AuditRecord {
	r := AuditRecord{
		Action: a.Action, ChangeID: identifier.ChangeID(a.Rollout), Operator: a.Operator, At: a.At,
		Reason: a.Reason, Base: s.configuration.revision, Revision: s.configuration.revision, Problem: a.Refused,
	}
	if a.Refused == "" {
		r.Changes = []configurer.FieldChange{{
			Path:   "rollouts/" + string(a.Rollout) + "/share",
			Before: shareValue(a.Before), After: shareValue(a.After),
		}}
	}
	return r
}

// shareValue returns a level's share as JSON.
func shareValue(l roller.Level) json.RawMessage { return fmt.Appendf(nil, "%v", float64(l.Share())) }
