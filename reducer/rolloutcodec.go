package reducer

import (
	"encoding/json"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/roller"
)

// wireRollout is the JSON form of a Rollout.
type wireRollout struct {
	ChangeID identifier.ChangeID `json:"changeId,omitempty"`
	Event    json.RawMessage     `json:"event"`
}

// encodeRollout returns ev in an envelope.
func encodeRollout(ev Rollout) ([]byte, error) {
	b, err := roller.EncodeEvent(ev.Event)
	if err != nil {
		return nil, err
	}
	return encode(typeRollout, wireRollout{ChangeID: ev.ChangeID, Event: b})
}

// decodeRollout decodes an envelope that encodeRollout returned.
func decodeRollout(e envelope) (Event, error) {
	w, err := decode[wireRollout](e)
	if err != nil {
		return nil, err
	}
	ev, err := roller.DecodeEvent(w.Event)
	return Rollout{ChangeID: w.ChangeID, Event: ev}, err
}
