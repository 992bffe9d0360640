package reducer

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// change holds the common fields of all events that lead to a new revision.
type change struct {
	id       identifier.ChangeID
	base     identifier.Revision
	operator identifier.Operator
	reason   string
	at       time.Time
	// kind and content describe the change. They are the same when the change
	// is sent again.
	kind    string
	content []byte
	// edit returns the new document for the current one.
	edit func(current json.RawMessage) (json.RawMessage, error)
}

// documentChange returns the change that replaces the full document.
func documentChange(ev ChangeConfiguration) change {
	return change{
		id: ev.ChangeID, base: ev.Base, operator: ev.Operator, reason: ev.Reason, at: ev.At,
		kind: typeChangeConfiguration, content: ev.Document,
		edit: func(json.RawMessage) (json.RawMessage, error) {
			if !isObject(ev.Document) {
				return nil, errors.New("the fleet document is no JSON object: send the document that 'cyclamenctl config get' prints, with the change made")
			}
			return ev.Document, nil
		},
	}
}

// exceptionAddition returns the change that adds an exception.
func exceptionAddition(ev AddException) change {
	return change{
		id: ev.ChangeID, base: ev.Base, operator: ev.Operator, reason: ev.Reason, at: ev.At,
		kind: typeAddException, content: ev.Exception,
		edit: func(current json.RawMessage) (json.RawMessage, error) {
			return configurer.AddException(current, ev.Exception)
		},
	}
}

// exceptionRemoval returns the change that removes an exception.
func exceptionRemoval(ev RemoveException) change {
	return change{
		id: ev.ChangeID, base: ev.Base, operator: ev.Operator, reason: ev.Reason, at: ev.At,
		kind: typeRemoveException, content: []byte(ev.Name),
		edit: func(current json.RawMessage) (json.RawMessage, error) {
			return configurer.RemoveException(current, ev.Name)
		},
	}
}

// validate returns a refusal if the change is invalid at every revision.
func (p *change) validate() (Refused, bool) {
	switch {
	case p.id == "" || len(p.id) > MaxChangeIDBytes:
		return Refused{Kind: refuser.Malformed, Problem: "the change id is empty or too long",
			Remedy: fmt.Sprintf("send one of at most %d bytes", MaxChangeIDBytes)}, true
	case len(p.reason) > MaxReasonBytes:
		return Refused{Kind: refuser.TooLarge, Problem: "the reason is too long",
			Remedy: fmt.Sprintf("shorten it to %d bytes", MaxReasonBytes)}, true
	default:
		return Refused{}, false
	}
}

// digest returns the digest of the change. It excludes the time because a
// resent change is proposed later.
func (p *change) digest() digest {
	return digestOfFields(p.kind, strconv.FormatUint(uint64(p.base), 10), string(p.operator), p.reason, string(p.content))
}

// digestOfFields returns the digest of fields, each preceded by its length.
func digestOfFields(fields ...string) digest {
	h := sha256.New()
	for _, field := range fields {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(field)))
		h.Write(n[:])
		h.Write([]byte(field))
	}
	return digest(h.Sum(nil))
}

// record returns the audit record of p without its result.
func (p *change) record() AuditRecord {
	return AuditRecord{Action: p.kind, ChangeID: p.id, Operator: p.operator, At: p.at, Reason: p.reason, Base: p.base}
}

// isObject reports whether b is one valid JSON object.
func isObject(b []byte) bool {
	return json.Valid(b) && bytes.HasPrefix(bytes.TrimSpace(b), []byte("{"))
}
