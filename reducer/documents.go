package reducer

import (
	"encoding/json"
	"fmt"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// StoreDocument stores a document under a revision number chosen by its author.
// Revision numbers may have gaps, and the highest one takes effect regardless
// of the order of arrival. A revision that is not above the current one changes
// nothing, so that a resent or outdated change can be acknowledged.
type StoreDocument struct {
	Revision identifier.Revision `json:"revision"`
	// Document is the full document. The proposer has checked it.
	Document json.RawMessage `json:"document"`
	At       time.Time       `json:"at"`
}

func (StoreDocument) isEvent() {}

// storeDocument applies ev.
func (s *State) storeDocument(ev StoreDocument) []Effect {
	c := &s.configuration
	if len(ev.Document) > MaxDocumentBytes {
		return []Effect{Answer{Outcome: Refused{
			Kind: refuser.TooLarge, Problem: "the document is too large",
			Remedy: fmt.Sprintf("shorten it to %d bytes", MaxDocumentBytes),
		}}}
	}
	if ev.Revision <= c.revision {
		return []Effect{Answer{Outcome: Accepted{Revision: c.revision, Resent: true}}}
	}
	record := AuditRecord{Action: typeStoreDocument, At: ev.At, Base: c.revision, Revision: ev.Revision}
	c.revision, c.document, c.since = ev.Revision, ev.Document, ev.At
	return []Effect{
		PublishConfiguration{Revision: c.revision, Document: c.document},
		s.writeAudit(record),
		Answer{Outcome: Accepted{Revision: c.revision}},
	}
}
