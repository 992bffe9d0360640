package reducer

import (
	"encoding/json"
	"fmt"
)

// envelope is the JSON form of a value of a sealed interface: the name of its
// type and the value.
type envelope struct {
	Type  string          `json:"type"`
	Value json.RawMessage `json:"value"`
}

// Type names in envelopes. They must never change, because old log entries
// contain them.
const (
	typeChangeConfiguration = "changeConfiguration"
	typeAddException        = "addException"
	typeRemoveException     = "removeException"
	typeRecordAction        = "recordAction"
	typeRollout             = "rollout"
	typeStartRollout        = "startRollout"
	typeRevertRollout       = "revertRollout"
	typeRecordRefusal       = "recordRefusal"
	typeStoreDocument       = "storeDocument"
	typeCloseWindow         = "closeWindow"
	typeIsolatePart         = "isolatePart"
	typeReleasePart         = "releasePart"
	typeProbePart           = "probePart"
	typeRecordServerEnd     = "recordServerEnd"
	typeStartEvacuation     = "startEvacuation"
	typeEndEvacuation       = "endEvacuation"
	typeAccepted            = "accepted"
	typeConflict            = "conflict"
	typeRefused             = "refused"
)

// ActionOf returns the action name of ev in the audit trail.
func ActionOf(ev Event) string {
	switch ev.(type) {
	case ChangeConfiguration:
		return typeChangeConfiguration
	case AddException:
		return typeAddException
	case RemoveException:
		return typeRemoveException
	default:
		return typeRecordRefusal
	}
}

// EncodeEvent returns the log entry for ev.
func EncodeEvent(ev Event) ([]byte, error) {
	switch ev := ev.(type) {
	case ChangeConfiguration:
		return encode(typeChangeConfiguration, ev)
	case AddException:
		return encode(typeAddException, ev)
	case RemoveException:
		return encode(typeRemoveException, ev)
	case RecordAction:
		return encode(typeRecordAction, ev)
	case Rollout:
		return encodeRollout(ev)
	case RecordRefusal:
		return encode(typeRecordRefusal, ev)
	case StoreDocument:
		return encode(typeStoreDocument, ev)
	case Isolation:
		return encodeIsolation(ev)
	case Evacuation:
		return encodeEvacuation(ev)
	case CloseWindow:
		return encode(typeCloseWindow, ev)
	default:
		return nil, fmt.Errorf("event %T has no encoding: add it to the codec", ev)
	}
}

// DecodeEvent decodes a log entry that EncodeEvent returned.
func DecodeEvent(b []byte) (Event, error) {
	var e envelope
	if err := json.Unmarshal(b, &e); err != nil {
		return nil, fmt.Errorf("log entry is no event: %w: run the version that wrote it", err)
	}
	switch e.Type {
	case typeChangeConfiguration:
		return decode[ChangeConfiguration](e)
	case typeAddException:
		return decode[AddException](e)
	case typeRemoveException:
		return decode[RemoveException](e)
	case typeRecordAction:
		return decode[RecordAction](e)
	case typeRollout:
		return decodeRollout(e)
	case typeRecordRefusal:
		return decode[RecordRefusal](e)
	case typeStoreDocument:
		return decode[StoreDocument](e)
	case typeIsolatePart, typeReleasePart, typeProbePart, typeRecordServerEnd:
		return decodeIsolation(e)
	case typeStartEvacuation, typeEndEvacuation:
		return decodeEvacuation(e)
	case typeCloseWindow:
		return decode[CloseWindow](e)
	default:
		return nil, fmt.Errorf("log entry has the unknown type %q: upgrade this keeper", e.Type)
	}
}

// EncodeOutcome returns the form of o that Machine.Apply returns.
func EncodeOutcome(o Outcome) ([]byte, error) {
	switch o := o.(type) {
	case Accepted:
		return encode(typeAccepted, o)
	case Conflict:
		return encode(typeConflict, o)
	case Refused:
		return encode(typeRefused, o)
	default:
		return nil, fmt.Errorf("outcome %T has no encoding: add it to the codec", o)
	}
}

// DecodeOutcome decodes an outcome that EncodeOutcome returned.
func DecodeOutcome(b []byte) (Outcome, error) {
	var e envelope
	if err := json.Unmarshal(b, &e); err != nil {
		return nil, fmt.Errorf("result is no outcome: %w: run one version on every host", err)
	}
	switch e.Type {
	case typeAccepted:
		return decode[Accepted](e)
	case typeConflict:
		return decode[Conflict](e)
	case typeRefused:
		return decode[Refused](e)
	default:
		return nil, fmt.Errorf("result has the unknown type %q: upgrade this host", e.Type)
	}
}

// encode returns v in an envelope.
func encode(name string, v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return json.Marshal(envelope{Type: name, Value: b})
}

// decode decodes the value of an envelope as a T.
func decode[T any](e envelope) (T, error) {
	var v T
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return v, fmt.Errorf("%s: %w: run the version that wrote it", e.Type, err)
	}
	return v, nil
}
