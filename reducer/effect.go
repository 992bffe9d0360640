package reducer

import (
	"encoding/json"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/roller"
)

// Effect is an action that results from an event. Machine.Perform carries it
// out.
type Effect interface{ isEffect() }

// PublishConfiguration passes an accepted revision to the distributor.
type PublishConfiguration struct {
	Revision identifier.Revision
	Document json.RawMessage
}

// Answer returns the outcome of an event to its proposer.
type Answer struct {
	ChangeID identifier.ChangeID
	Outcome  Outcome
}

// WriteAudit writes an audit record to the log of the process.
type WriteAudit struct{ Record AuditRecord }

// withoutSuperseded returns effects without those that publish a state which a
// later one replaces.
func withoutSuperseded(effects []Effect) []Effect {
	newest := make(map[string]int)
	for i, e := range effects {
		if name := publishedBy(e); name != "" {
			newest[name] = i
		}
	}
	var kept []Effect
	for i, e := range effects {
		if name := publishedBy(e); name == "" || newest[name] == i {
			kept = append(kept, e)
		}
	}
	return kept
}

// publishedBy returns the name of what an effect publishes as a whole, or "" for
// other effects.
func publishedBy(e Effect) string {
	switch e := e.(type) {
	case PublishConfiguration:
		return "configuration"
	case PublishIsolation:
		return "isolation"
	case PublishEvacuations:
		return "evacuations"
	case RolloutEffect:
		if _, ok := e.Effect.(roller.PublishDirective); ok {
			return "directives"
		}
	}
	return ""
}

func (PublishConfiguration) isEffect() {}
func (Answer) isEffect()               {}
func (WriteAudit) isEffect()           {}
