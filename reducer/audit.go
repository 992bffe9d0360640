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
	// MaxAcceptedRecords bounds the accepted changes in the audit trail: one
	// week at the design size.
	MaxAcceptedRecords = 7 * 2100
	// MaxAcceptedBytes bounds the size of their JSON form, in bytes: a quarter
	// of the 32 MB that the control plane may use on a host.
	MaxAcceptedBytes = 8 << 20
	// MaxRefusedRecords bounds the refused changes in the audit trail: one day
	// at the design size. Refused changes have their own bounds so that many
	// refusals cannot evict accepted changes.
	MaxRefusedRecords = 2100
	// MaxRefusedBytes bounds the size of their JSON form, in bytes.
	MaxRefusedBytes = 2 << 20
	// MaxRecordedChanges bounds the fields listed in one record, and
	// MaxRecordedValueBytes the size of each value before and after the change,
	// in bytes.
	MaxRecordedChanges    = 64
	MaxRecordedValueBytes = 1024
	// MaxTextBytes bounds each text of a record, in bytes.
	MaxTextBytes = 4096
)

// AuditRecord records who changed what, when and why.
type AuditRecord struct {
	// Number increases by one with every record.
	Number uint64 `json:"number"`
	// Action is the kind of change, as in "addException".
	Action string `json:"action"`
	// Detail names the object of an action that is not a change of
	// configuration.
	Detail   string              `json:"detail,omitempty"`
	ChangeID identifier.ChangeID `json:"changeId"`
	Operator identifier.Operator `json:"operator"`
	At       time.Time           `json:"at"`
	Reason   string              `json:"reason,omitempty"`
	// Base is the revision against which the change was made.
	Base identifier.Revision `json:"base"`
	// Revision is the revision after the record, whether or not the record
	// raised it.
	Revision identifier.Revision `json:"revision"`
	// Problem says why the change was refused. It is empty for an accepted
	// change.
	Problem string `json:"problem,omitempty"`
	// Changes lists the changed fields with their values before and after.
	Changes []configurer.FieldChange `json:"changes,omitempty"`
	// Omitted is the number of changed fields that Changes does not list.
	Omitted int `json:"omitted,omitempty"`
}

// IsRefused reports whether the change was refused.
func (r AuditRecord) IsRefused() bool { return r.Problem != "" }

// setChanges records the differences between two documents, within the bounds.
func (r *AuditRecord) setChanges(before, after json.RawMessage) {
	r.Changes = configurer.Diff(before, after)
	if n := len(r.Changes); n > MaxRecordedChanges {
		r.Changes, r.Omitted = r.Changes[:MaxRecordedChanges:MaxRecordedChanges], n-MaxRecordedChanges
	}
	for i := range r.Changes {
		r.Changes[i].Before = summarizeValue(r.Changes[i].Before)
		r.Changes[i].After = summarizeValue(r.Changes[i].After)
	}
}

// summarizeValue replaces a long value by a JSON string with its size and
// digest.
func summarizeValue(value json.RawMessage) json.RawMessage {
	if len(value) <= MaxRecordedValueBytes {
		return value
	}
	return fmt.Appendf(nil, `"%d bytes, sha256 %x"`, len(value), sha256.Sum256(value))
}

// truncateText truncates a text from an operator or a check to MaxTextBytes.
func truncateText(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), MaxTextBytes)], "")
}

// audit is the audit trail, with separate bounds for accepted and refused
// changes.
type audit struct {
	lastNumber uint64
	accepted   trail
	refused    trail
}

// writeAudit numbers r, adds it to the trail and returns the effect that logs
// it.
func (s *State) writeAudit(r AuditRecord) Effect {
	a := &s.audit
	a.lastNumber++
	r.Number = a.lastNumber
	r.ChangeID = identifier.ChangeID(truncateText(string(r.ChangeID)))
	r.Reason, r.Detail, r.Problem = truncateText(r.Reason), truncateText(r.Detail), truncateText(r.Problem)
	if r.IsRefused() {
		a.refused.add(r, MaxRefusedRecords, MaxRefusedBytes)
	} else {
		a.accepted.add(r, MaxAcceptedRecords, MaxAcceptedBytes)
	}
	return WriteAudit{Record: r}
}

// recordAction records an action that is about to be performed.
func (s *State) recordAction(ev RecordAction) []Effect {
	record := s.writeAudit(AuditRecord{
		Action: ev.Action, Detail: ev.Detail, ChangeID: ev.ChangeID, Operator: ev.Operator, At: ev.At,
		Reason: ev.Reason, Base: s.configuration.revision, Revision: s.configuration.revision,
	})
	return []Effect{record, Answer{ChangeID: ev.ChangeID, Outcome: Accepted{Revision: s.configuration.revision}}}
}

// recordRefusal records a change that was refused before it was proposed.
func (s *State) recordRefusal(ev RecordRefusal) []Effect {
	record := s.writeAudit(AuditRecord{
		Action: ev.Action, ChangeID: ev.ChangeID, Operator: ev.Operator, At: ev.At, Reason: ev.Reason,
		Base: ev.Base, Revision: s.configuration.revision, Problem: ev.Problem,
	})
	return []Effect{record, Answer{ChangeID: ev.ChangeID, Outcome: Accepted{Revision: s.configuration.revision}}}
}
