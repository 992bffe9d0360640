package reducer

import (
	"fmt"

	"cyclamenhub.org/isolator"
)

// Isolation applies a decision on a part of prompts, or evidence for one.
type Isolation struct{ Event isolator.Event }

// PublishIsolation passes the isolated parts of prompts to the distributor.
type PublishIsolation struct{ Book isolator.Book }

func (Isolation) isEvent()         {}
func (PublishIsolation) isEffect() {}

// changeIsolation applies ev.
func (s *State) changeIsolation(ev Isolation) []Effect {
	changed := s.isolated.Apply(ev.Event)
	answer := Answer{Outcome: Accepted{Revision: s.configuration.revision, Resent: !changed}}
	if !changed {
		return []Effect{answer}
	}
	return []Effect{PublishIsolation{Book: s.isolated}, answer}
}

// encodeIsolation returns ev in an envelope.
func encodeIsolation(ev Isolation) ([]byte, error) {
	switch e := ev.Event.(type) {
	case isolator.Isolate:
		return encode(typeIsolatePart, e)
	case isolator.Release:
		return encode(typeReleasePart, e)
	case isolator.Probe:
		return encode(typeProbePart, e)
	case isolator.RecordEnd:
		return encode(typeRecordServerEnd, e)
	default:
		return nil, fmt.Errorf("event %T has no encoding: add it to the codec", e)
	}
}

// decodeIsolation decodes an envelope that encodeIsolation returned.
func decodeIsolation(e envelope) (Event, error) {
	switch e.Type {
	case typeIsolatePart:
		return decodeIsolationAs[isolator.Isolate](e)
	case typeReleasePart:
		return decodeIsolationAs[isolator.Release](e)
	case typeProbePart:
		return decodeIsolationAs[isolator.Probe](e)
	default:
		return decodeIsolationAs[isolator.RecordEnd](e)
	}
}

// decodeIsolationAs decodes the value of an envelope as an event of type T.
func decodeIsolationAs[T isolator.Event](e envelope) (Event, error) {
	ev, err := decode[T](e)
	return Isolation{ev}, err
}
