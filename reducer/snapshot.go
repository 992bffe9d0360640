package reducer

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"cyclamenhub.org/evacuator"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/isolator"
	"cyclamenhub.org/roller"
)

// snapshotFormat is the version of the snapshot format.
const snapshotFormat = 1

// wireState is the JSON form of a State.
type wireState struct {
	Format    int                 `json:"format"`
	Revision  identifier.Revision `json:"revision"`
	Document  json.RawMessage     `json:"document,omitempty"`
	Since     time.Time           `json:"since"`
	Outcomes  []wireOutcome       `json:"answers,omitempty"`
	LastAudit uint64              `json:"lastAudit"`
	Accepted  []AuditRecord       `json:"accepted,omitempty"`
	Refused   []AuditRecord       `json:"refused,omitempty"`
	Rollouts  roller.State        `json:"rollouts"`
	Windows   []ClosedWindow      `json:"windows,omitempty"`
	Isolated  isolator.Book       `json:"isolated,omitzero"`
	Evacuated evacuator.Book      `json:"evacuated,omitzero"`
}

// wireOutcome is the JSON form of a storedOutcome.
type wireOutcome struct {
	ChangeID identifier.ChangeID `json:"changeId"`
	Digest   string              `json:"digest"`
	Outcome  json.RawMessage     `json:"outcome"`
}

// check returns an error for a form that State.Snapshot never produces.
func (w *wireState) check() error {
	switch {
	case w.Format != snapshotFormat:
		return fmt.Errorf("snapshot has format %d and this version reads %d: run the version that wrote it", w.Format, snapshotFormat)
	case w.Revision > 0 && !isObject(w.Document):
		return fmt.Errorf("snapshot of revision %d holds no document: restore this replica from its peers", w.Revision)
	case len(w.Outcomes) > MaxStoredOutcomes, len(w.Accepted) > MaxAcceptedRecords, len(w.Refused) > MaxRefusedRecords:
		return fmt.Errorf("snapshot exceeds a bound: run the version that wrote it")
	}
	return errors.Join(w.Isolated.Check(), w.Evacuated.Check())
}

// Snapshot returns the encoded state. Equal states have equal encodings.
func (s *State) Snapshot() []byte {
	c := &s.configuration
	w := wireState{
		Format: snapshotFormat, Revision: c.revision, Document: c.document, Since: c.since,
		LastAudit: s.audit.lastNumber, Accepted: s.audit.accepted.records, Refused: s.audit.refused.records,
		Rollouts: s.rollouts, Windows: s.windows, Isolated: s.isolated,
		Evacuated: s.evacuated,
	}
	for _, o := range c.outcomes {
		w.Outcomes = append(w.Outcomes, wireOutcome{
			ChangeID: o.change, Digest: hex.EncodeToString(o.digest[:]), Outcome: mustEncodeOutcome(o.outcome),
		})
	}
	return w.encode()
}

// ReadSnapshot returns a snapshot of the current configuration, the rollouts and the
// evacuations,
// without the audit trail, the stored outcomes and the closed windows. A State
// restored from it can serve reads; a replica must not be restored from it.
func (s *State) ReadSnapshot() []byte {
	c := &s.configuration
	w := wireState{Format: snapshotFormat, Revision: c.revision, Document: c.document, Since: c.since, LastAudit: s.audit.lastNumber, Rollouts: s.rollouts, Evacuated: s.evacuated}
	return w.encode()
}

// encode returns w as JSON.
func (w *wireState) encode() []byte {
	b, err := json.Marshal(w)
	if err != nil {
		// All fields have types that can be marshaled.
		panic(fmt.Sprintf("snapshot: %v", err))
	}
	return b
}

// Restore replaces s by the state in b. On an error it leaves s unchanged.
func (s *State) Restore(b []byte) error {
	var w wireState
	if err := json.Unmarshal(b, &w); err != nil {
		return fmt.Errorf("snapshot is malformed: %w: restore this replica from its peers", err)
	}
	if err := w.check(); err != nil {
		return err
	}
	restored := State{
		configuration: configuration{revision: w.Revision, document: w.Document, since: w.Since},
		audit:         audit{lastNumber: w.LastAudit},
		rollouts:      w.Rollouts,
		windows:       w.Windows,
		isolated:      w.Isolated,
		evacuated:     w.Evacuated,
	}
	for _, r := range w.Accepted {
		restored.audit.accepted.add(r, MaxAcceptedRecords, MaxAcceptedBytes)
	}
	for _, r := range w.Refused {
		restored.audit.refused.add(r, MaxRefusedRecords, MaxRefusedBytes)
	}
	for _, wo := range w.Outcomes {
		o, err := wo.decode()
		if err != nil {
			return err
		}
		restored.configuration.storeOutcome(o)
	}
	*s = restored
	return nil
}

// decode decodes and checks w.
func (w *wireOutcome) decode() (storedOutcome, error) {
	o := storedOutcome{change: w.ChangeID}
	b, err := hex.DecodeString(w.Digest)
	if err != nil || len(b) != len(o.digest) {
		return storedOutcome{}, fmt.Errorf("snapshot holds a malformed digest for change %q: restore this replica from its peers", w.ChangeID)
	}
	copy(o.digest[:], b)
	if o.outcome, err = DecodeOutcome(w.Outcome); err != nil {
		return storedOutcome{}, fmt.Errorf("snapshot: %w", err)
	}
	return o, nil
}

// mustEncodeOutcome encodes an outcome of Reduce.
func mustEncodeOutcome(o Outcome) []byte {
	b, err := EncodeOutcome(o)
	if err != nil {
		// Reduce returns only outcomes that the codec knows.
		panic(err)
	}
	return b
}
