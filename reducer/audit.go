package reducer

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
)

// Bounds of the audit trail. The design size is 2,100 changes a day.
const (
	// MaxAcceptedRecords bounds the accepted changes that are kept: a week of
	// them.
	MaxAcceptedRecords = 7 * 2100
	// MaxAcceptedBytes bounds their size in JSON: a quarter of the 32 MB that
	// control may take on a host.
	MaxAcceptedBytes = 8 << 20
	// MaxRefusedRecords bounds the refused changes that are kept: a day of
	// them. They have their own bounds, so that a flood of refusals cannot push
	// out what changed.
	MaxRefusedRecords = 2100
	// MaxRefusedBytes bounds their size in JSON.
	MaxRefusedBytes = 2 << 20
	// MaxRecordedChanges bounds the fields listed in one record, and
	// MaxRecordedValueBytes each value before and after.
	MaxRecordedChanges    = 64
	MaxRecordedValueBytes = 1024
	// MaxTextBytes bounds each text of a record.
	MaxTextBytes = 4096
)

// AuditRecord tells who changed what, when and why.
type AuditRecord struct {
	// Number rises by one with every record.
	Number uint64 `json:"number"`
	// Action is the kind of change, as in "addException".
	Action string `json:"action"`
	// Detail tells what an action other than a change of configuration is taken
	// on.
	Detail   string              `json:"detail,omitempty"`
	ChangeID identifier.ChangeID `json:"changeId"`
	Operator identifier.Operator `json:"operator"`
	At       time.Time           `json:"at"`
	Reason   string              `json:"reason,omitempty"`
	// Base is the revision that the change was made against.
	Base identifier.Revision `json:"base"`
	// Revision is the revision after the record, whether or not it rose.
	Revision identifier.Revision `json:"revision"`
	// Problem says why the change was refused; it is empty for an accepted one.
	Problem string `json:"problem,omitempty"`
	// Changes lists the fields that changed, with their values before and
	// after.
	Changes []configurer.FieldChange `json:"changes,omitempty"`
	// Omitted counts the changed fields beyond those listed.
	Omitted int `json:"omitted,omitempty"`
}

// IsRefused reports whether the change was refused.
func (r AuditRecord) IsRefused() bool { return r.Problem != "" }

// setChanges records the difference between two documents, within bounds.
func (r *AuditRecord) setChanges(before, after json.RawMessage) {
	r.Changes = configurer.Diff(before, after)
	if n := len(r.Changes); n > MaxRecordedChanges {
		r.Changes, r.Omitted = r.Changes[:MaxRecordedChanges:MaxRecordedChanges], n-MaxRecordedChanges
	}
	for i := range r.Changes {
		r.Changes[i].Before = shorten(r.Changes[i].Before)
		r.Changes[i].After = shorten(r.Changes[i].After)
	}
}

// shorten replaces a long value by a JSON string that tells its size and
// digest.
func shorten(value json.RawMessage) json.RawMessage {
	if len(value) <= MaxRecordedValueBytes {
		return value
	}
	return fmt.Appendf(nil, `"%d bytes, sha256 %x"`, len(value), sha256.Sum256(value))
}

// shortenText cuts a text of an operator or check to what a record keeps.
func shortenText(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), MaxTextBytes)], "")
}

// audit is the bounded audit trail.
type audit struct {
	last     uint64
	accepted trail
	refused  trail
}

// writeAudit numbers r, keeps it and returns the effect that logs it.
func (s *State) writeAudit(r AuditRecord) Effect {
	a := &s.audit
	a.last++
	r.Number = a.last
	r.ChangeID = identifier.ChangeID(shortenText(string(r.ChangeID)))
	r.Reason, r.Detail, r.Problem = shortenText(r.Reason), shortenText(r.Detail), shortenText(r.Problem)
	if r.IsRefused() {
		a.refused.add(r, MaxRefusedRecords, MaxRefusedBytes)
	} else {
		a.accepted.add(r, MaxAcceptedRecords, MaxAcceptedBytes)
	}
	return WriteAudit{Record: r}
}

// recordAction keeps the record of an action that is about to be taken.
func (s *State) recordAction(ev RecordAction) []Effect {
	record := s.writeAudit(AuditRecord{
		Action: ev.Action, Detail: ev.Detail, ChangeID: ev.ChangeID, Operator: ev.Operator, At: ev.At,
		Reason: ev.Reason, Base: s.configuration.revision, Revision: s.configuration.revision,
	})
	return []Effect{record, Answer{ChangeID: ev.ChangeID, Outcome: Accepted{Revision: s.configuration.revision}}}
}

// recordRefusal keeps the record of a change that was refused before it was
// proposed.
func (s *State) recordRefusal(ev RecordRefusal) []Effect {
	record := s.writeAudit(AuditRecord{
		Action: ev.Action, ChangeID: ev.ChangeID, Operator: ev.Operator, At: ev.At, Reason: ev.Reason,
		Base: ev.Base, Revision: s.configuration.revision, Problem: ev.Problem,
	})
	return []Effect{record, Answer{ChangeID: ev.ChangeID, Outcome: Accepted{Revision: s.configuration.revision}}}
}
