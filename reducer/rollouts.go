package reducer

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/roller"
)

// Rollout applies an event of a rollout. Events from operators have a change
// id, so that they can be sent again; events from the controller have none.
type Rollout struct {
	ChangeID identifier.ChangeID
	Event    roller.Event
}

// RolloutEffect carries an effect of a rollout: a directive to distribute, a
// notice to the operators, or the release of a version.
type RolloutEffect struct{ Effect roller.Effect }

func (Rollout) isEvent()        {}
func (RolloutEffect) isEffect() {}

// changeRollout applies an event of a rollout, at most once per change id.
func (s *State) changeRollout(ev Rollout) []Effect {
	if ev.ChangeID == "" {
		effects, outcome := s.applyRollout(ev)
		return append(effects, Answer{Outcome: outcome})
	}
	d := digestOfRollout(ev)
	if earlier, ok := s.configuration.outcomeByChange[ev.ChangeID]; ok {
		return s.answerRolloutResend(ev, earlier, d)
	}
	effects, outcome := s.applyRollout(ev)
	s.configuration.storeOutcome(storedOutcome{change: ev.ChangeID, digest: d, outcome: outcome})
	return append(effects, Answer{ChangeID: ev.ChangeID, Outcome: outcome})
}

// answerRolloutResend answers a change id that was used before.
func (s *State) answerRolloutResend(ev Rollout, earlier storedOutcome, d digest) []Effect {
	if earlier.digest == d {
		return []Effect{Answer{ChangeID: ev.ChangeID, Outcome: markResent(earlier.outcome)}}
	}
	outcome := refusalOfReusedID(ev.ChangeID)
	revision := s.configuration.revision
	record := s.writeAudit(AuditRecord{Action: typeRollout, ChangeID: ev.ChangeID, Base: revision, Revision: revision, Problem: outcome.Problem})
	return []Effect{record, Answer{ChangeID: ev.ChangeID, Outcome: outcome}}
}

// applyRollout applies ev to the rollouts and returns the effects and the
// outcome.
func (s *State) applyRollout(ev Rollout) ([]Effect, Outcome) {
	resulting, err := s.rollouts.Apply(ev.Event)
	var effects []Effect
	for _, e := range resulting {
		if a, ok := e.(roller.RecordAudit); ok {
			effects = append(effects, s.writeAudit(s.auditOfRollout(ev.ChangeID, a.Audit)))
			continue
		}
		effects = append(effects, RolloutEffect{Effect: e})
	}
	if err != nil {
		return effects, refusalOfRollout(err)
	}
	return effects, Accepted{Revision: s.configuration.revision}
}

// auditOfRollout returns the audit record for a.
func (s *State) auditOfRollout(id identifier.ChangeID, a roller.Audit) AuditRecord {
	r := AuditRecord{
		Action: a.Action, Detail: "rollout " + string(a.Rollout), ChangeID: id, Operator: a.Operator, At: a.At,
		Reason: a.Reason, Problem: a.Refused, Base: s.configuration.revision, Revision: s.configuration.revision,
	}
	if a.Refused == "" && a.Before != a.After {
		r.Changes = []configurer.FieldChange{{Path: "rollouts/" + string(a.Rollout) + "/share", Before: shareOf(a.Before), After: shareOf(a.After)}}
	}
	return r
}

// shareOf returns the share of a rollout level as JSON.
func shareOf(l roller.Level) json.RawMessage { return fmt.Append(nil, float64(l.Share())) }

// refusalOfRollout returns the outcome for an error of roller.State.Apply.
func refusalOfRollout(err error) Outcome {
	kind := refuser.Malformed
	var busy *roller.BusyError
	var transition *roller.TransitionError
	var unknown *roller.UnknownError
	switch {
	case errors.As(err, &busy), errors.As(err, &transition):
		kind = refuser.Conflict
	case errors.As(err, &unknown):
		kind = refuser.NotFound
	}
	problem, remedy, _ := strings.Cut(err.Error(), ": ")
	return Refused{Kind: kind, Problem: problem, Remedy: remedy}
}

// compareRollouts orders rollouts by start time, then by id.
func compareRollouts(a, b *roller.Record) int {
	return cmp.Or(a.Start.At.Compare(b.Start.At), cmp.Compare(a.Start.ID, b.Start.ID))
}

// rolloutRecords returns copies of the rollout records, oldest first.
func (s *State) rolloutRecords() []roller.Record {
	var records []roller.Record
	for _, r := range slices.SortedFunc(maps.Values(s.rollouts.Records), compareRollouts) {
		records = append(records, *r)
	}
	return records
}

// digestOfRollout returns the digest of the operator's request. It excludes
// what the proposer adds, such as the time and the plan of the stages, because
// a resent request is proposed later.
func digestOfRollout(ev Rollout) digest {
	var fields []string
	switch e := ev.Event.(type) {
	case roller.StartRollout:
		fields = []string{typeStartRollout, string(e.Service), string(e.To), e.Deadline.UTC().String(), e.Watch.String(), string(e.Operator), e.Reason}
	case roller.RevertRollout:
		fields = []string{typeRevertRollout, string(e.ID), string(e.Operator), e.Reason}
	}
	return digestOfFields(fields...)
}
