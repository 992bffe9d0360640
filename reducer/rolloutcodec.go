package reducer

import (
	"encoding/json"
	"fmt"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/roller"
)

// wireRollout is the JSON form of a Rollout.
type wireRollout struct {
	ChangeID identifier.ChangeID `json:"changeId,omitempty"`
	Event    json.RawMessage     `json:"event"`
}

// encodeRollout returns the envelope of ev.
func encodeRollout(ev Rollout) ([]byte, error) {
	b, err := encodeRolloutEvent(ev.Event)
	if err != nil {
		return nil, err
	}
	return encode(typeRollout, wireRollout{ChangeID: ev.ChangeID, Event: b})
}

// encodeRolloutEvent returns the envelope of an event of the book.
func encodeRolloutEvent(ev roller.Event) ([]byte, error) {
	switch ev := ev.(type) {
	case roller.StartRollout:
		return encode(typeStartRollout, ev)
	case roller.StageReached:
		return encode(typeStageReached, ev)
	case roller.VerdictReached:
		return encode(typeVerdictReached, ev)
	case roller.RevertRollout:
		return encode(typeRevertRollout, ev)
	case roller.WatchEnded:
		return encode(typeWatchEnded, ev)
	default:
		return nil, fmt.Errorf("event %T has no encoding: add it to the codec", ev)
	}
}

// decodeRollout reads the envelope that encodeRollout writes.
func decodeRollout(e envelope) (Event, error) {
	w, err := decode[wireRollout](e)
	if err != nil {
		return nil, err
	}
	var inner envelope
	if err := json.Unmarshal(w.Event, &inner); err != nil {
		return nil, fmt.Errorf("%s: %w: run the version that wrote it", e.Type, err)
	}
	ev, err := decodeRolloutEvent(inner)
	return Rollout{ChangeID: w.ChangeID, Event: ev}, err
}

// decodeRolloutEvent reads the envelope that encodeRolloutEvent writes.
func decodeRolloutEvent(e envelope) (roller.Event, error) {
	switch e.Type {
	case typeStartRollout:
		return decode[roller.StartRollout](e)
	case typeStageReached:
		return decode[roller.StageReached](e)
	case typeVerdictReached:
		return decode[roller.VerdictReached](e)
	case typeRevertRollout:
		return decode[roller.RevertRollout](e)
	case typeWatchEnded:
		return decode[roller.WatchEnded](e)
	default:
		return nil, fmt.Errorf("log entry has the unknown rollout event %q: upgrade this keeper", e.Type)
	}
}
