package reducer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/evacuator"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/isolator"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/roller"
)

var (
	undecodedEntries = metrics.NewCounter("cyclamen_control_undecoded_entries_total")
	acceptedEvents   = outcomeCounter("accepted")
	conflictedEvents = outcomeCounter("conflict")
	refusedEvents    = outcomeCounter("refused")
	resentEvents     = outcomeCounter("resent")
)

// outcomeCounter returns the counter of one kind of outcome.
func outcomeCounter(outcome string) *metrics.Counter {
	return metrics.NewCounter(fmt.Sprintf("cyclamen_control_outcomes_total{outcome=%q}", outcome))
}

// countOutcome counts o by its kind. A resent event is counted only as resent.
func countOutcome(o Outcome) {
	switch {
	case o == markResent(o):
		resentEvents.Inc()
	case o.Err() == nil:
		acceptedEvents.Inc()
	default:
		countRefusal(o)
	}
}

// countRefusal counts the outcome of an event that was not accepted.
func countRefusal(o Outcome) {
	if _, ok := o.(Conflict); ok {
		conflictedEvents.Inc()
		return
	}
	refusedEvents.Inc()
}

// Machine applies the entries of a replicated log to a State: it decodes each
// committed entry, reduces it and encodes the outcome. Its zero value is ready
// to use. Only one goroutine at a time may use it.
type Machine struct {
	// Perform performs the effects of one or more entries, if set. It must not
	// block.
	Perform func(effects []Effect)
	state   State
}

// Apply applies committed entries in order and returns their encoded outcomes. An
// empty entry changes nothing and has no outcome. Of the effects that publish a
// state, only those of the newest state are performed.
func (m *Machine) Apply(entries ...[]byte) [][]byte {
	var effects []Effect
	results := make([][]byte, len(entries))
	for i, entry := range entries {
		caused, result := m.applyOne(entry)
		effects = append(effects, caused...)
		results[i] = result
	}
	if effects = withoutSuperseded(effects); m.Perform != nil && len(effects) > 0 {
		m.Perform(effects)
	}
	return results
}

// applyOne applies an entry and returns its effects and its encoded outcome.
func (m *Machine) applyOne(entry []byte) ([]Effect, []byte) {
	if len(entry) == 0 {
		return nil, nil
	}
	ev, err := DecodeEvent(entry)
	if err != nil {
		undecodedEntries.Inc()
		return nil, mustEncodeOutcome(Refused{Kind: refuser.Malformed, Problem: err.Error(), Remedy: "run one version on every keeper"})
	}
	effects := Reduce(&m.state, ev)
	outcome := outcomeOf(effects)
	countOutcome(outcome)
	return effects, mustEncodeOutcome(outcome)
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() []byte { return m.state.Snapshot() }

// ReadSnapshot returns a snapshot without the audit trail, the stored outcomes
// and the closed windows; see State.ReadSnapshot.
func (m *Machine) ReadSnapshot() []byte { return m.state.ReadSnapshot() }

// Restore replaces the state by the one in b and publishes its configuration
// and rollout directives. On an error it changes nothing.
func (m *Machine) Restore(b []byte) error {
	if err := m.state.Restore(b); err != nil {
		return err
	}
	if effects := m.state.currentEffects(); m.Perform != nil && len(effects) > 0 {
		m.Perform(effects)
	}
	return nil
}

// Rollouts returns the rollouts. Only the goroutine that owns m may read them,
// and no goroutine may change them.
func (m *Machine) Rollouts() *roller.State { return &m.state.rollouts }

// Isolated returns the isolated parts of prompts. Only the goroutine that owns m
// may read them, and no goroutine may change them.
func (m *Machine) Isolated() *isolator.Book { return &m.state.isolated }

// Evacuated returns the evacuated failure domains. Only the goroutine that owns m
// may read them, and no goroutine may change them.
func (m *Machine) Evacuated() *evacuator.Book { return &m.state.evacuated }

// View returns a view of the state for other goroutines.
func (m *Machine) View() View { return m.state.View() }

// outcomeOf returns the outcome in the effects of one event.
func outcomeOf(effects []Effect) Outcome {
	answer, _ := effects[len(effects)-1].(Answer)
	return answer.Outcome
}

// Revision returns the revision of the current configuration.
func (m *Machine) Revision() identifier.Revision { return m.state.configuration.revision }
