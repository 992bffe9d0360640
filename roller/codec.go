package roller

import (
	"encoding/json"
	"fmt"
)

// envelope is the JSON form of an event: its type name and its value.
type envelope struct {
	Type  string          `json:"type"`
	Value json.RawMessage `json:"value"`
}

// The event names in envelopes and audit records. They must not change, since
// existing log entries contain them.
const (
	actionStart   = "startRollout"
	actionStage   = "stageReached"
	actionVerdict = "verdictReached"
	actionRevert  = "revertRollout"
	actionEnd     = "watchEnded"
)

// EncodeEvent returns the form of e that is stored in the control log.
func EncodeEvent(e Event) ([]byte, error) {
	name := ""
	switch e.(type) {
	case StartRollout:
		name = actionStart
	case StageReached:
		name = actionStage
	case VerdictReached:
		name = actionVerdict
	case RevertRollout:
		name = actionRevert
	case WatchEnded:
		name = actionEnd
	}
	b, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("rollout event %s: %w", name, err)
	}
	return json.Marshal(envelope{Type: name, Value: b})
}

// DecodeEvent decodes an event that EncodeEvent encoded.
func DecodeEvent(b []byte) (Event, error) {
	var e envelope
	if err := json.Unmarshal(b, &e); err != nil {
		return nil, fmt.Errorf("rollout event: %w: run the version that wrote it", err)
	}
	switch e.Type {
	case actionStart:
		return decodeEvent[StartRollout](e)
	case actionStage:
		return decodeEvent[StageReached](e)
	case actionVerdict:
		return decodeEvent[VerdictReached](e)
	case actionRevert:
		return decodeEvent[RevertRollout](e)
	case actionEnd:
		return decodeEvent[WatchEnded](e)
	default:
		return nil, fmt.Errorf("rollout event has the unknown type %q: upgrade this keeper", e.Type)
	}
}

func decodeEvent[T Event](e envelope) (Event, error) {
	var v T
	if err := json.Unmarshal(e.Value, &v); err != nil {
		return nil, fmt.Errorf("%s: %w: run the version that wrote it", e.Type, err)
	}
	return v, nil
}
