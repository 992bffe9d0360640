package reducer

import (
	"encoding/json"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
)

// Bounds of the audit trail. The design size is 2,100 changes a day.
const (
	// MaxAcceptedRecords bounds the accepted changes that are kept: a week of
	// them.
	MaxAcceptedRecords = 7 * 2100
	// MaxRefusedRecords bounds the refused changes that are kept. They have
	// their own bound, so that a flood of refusals cannot push out what
	// changed.
	MaxRefusedRecords = 2100
)

// AuditRecord tells who changed what, when and why.
type AuditRecord struct {
	// Number rises by one with every record.
	Number   uint64              `json:"number"`
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
}

// IsRefused reports whether the change was refused.
func (r AuditRecord) IsRefused() bool { return r.Problem != "" }

// setDocuments records the difference between two documents.
func (r *AuditRecord) setDocuments(before, after json.RawMessage) {
	r.Changes = configurer.Diff(before, after)
}

// auditOfChange returns the record of ev without its result.
func auditOfChange(ev ChangeConfiguration) AuditRecord {
	return AuditRecord{ChangeID: ev.ChangeID, Operator: ev.Operator, At: ev.At, Reason: ev.Reason, Base: ev.Base}
}

// audit is the bounded audit trail. Records are never changed once added.
type audit struct {
	last     uint64
	accepted []AuditRecord
	refused  []AuditRecord
}

// writeAudit numbers r, keeps it and returns the effect that logs it.
func (s *State) writeAudit(r AuditRecord) Effect {
	a := &s.audit
	a.last++
	r.Number = a.last
	if r.IsRefused() {
		a.refused = appendBounded(a.refused, r, MaxRefusedRecords)
	} else {
		a.accepted = appendBounded(a.accepted, r, MaxAcceptedRecords)
	}
	return WriteAudit{Record: r}
}

// recordRefusal keeps the record of a change that was refused before it was
// proposed.
func (s *State) recordRefusal(ev RecordRefusal) []Effect {
	record := s.writeAudit(AuditRecord{
		ChangeID: ev.ChangeID, Operator: ev.Operator, At: ev.At, Reason: ev.Reason,
		Base: ev.Base, Revision: s.configuration.revision, Problem: ev.Problem,
	})
	return []Effect{record, Answer{ChangeID: ev.ChangeID, Outcome: Accepted{Revision: s.configuration.revision}}}
}

// appendBounded appends r and drops the oldest records beyond bound.
func appendBounded(records []AuditRecord, r AuditRecord, bound int) []AuditRecord {
	records = append(records, r)
	return records[max(0, len(records)-bound):]
}
