package reducer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/identifier"
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

// countOutcome counts o by its kind; a resend counts as that alone.
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

// countRefusal counts an outcome that changed nothing.
func countRefusal(o Outcome) {
	if _, ok := o.(Conflict); ok {
		conflictedEvents.Inc()
		return
	}
	refusedEvents.Inc()
}

// Machine adapts a State to a replicated log: it decodes each committed entry,
// reduces it and encodes the outcome. Its zero value is ready to use. One
// goroutine may use it at a time.
type Machine struct {
	// Perform carries out effects, if set. It must not block.
	Perform func(index identifier.LogIndex, effects []Effect)
	state   State
}

// Apply applies a committed entry and returns its encoded outcome. An empty
// entry changes nothing and has no outcome.
func (m *Machine) Apply(index identifier.LogIndex, entry []byte) []byte {
	if len(entry) == 0 {
		return nil
	}
	ev, err := DecodeEvent(entry)
	if err != nil {
		undecodedEntries.Inc()
		return mustEncodeOutcome(Refused{Kind: refuser.Malformed, Problem: err.Error(), Remedy: "run one version on every keeper"})
	}
	effects := Reduce(&m.state, ev)
	if m.Perform != nil {
		m.Perform(index, effects)
	}
	outcome := outcomeOf(effects)
	countOutcome(outcome)
	return mustEncodeOutcome(outcome)
}

// Snapshot returns the state as bytes.
func (m *Machine) Snapshot() []byte { return m.state.Snapshot() }

// Head returns a snapshot of the present configuration alone.
func (m *Machine) Head() []byte { return m.state.Head() }

// Restore replaces the state and publishes the configuration and the directives
// that it holds.
func (m *Machine) Restore(b []byte) error {
	if err := m.state.Restore(b); err != nil {
		return err
	}
	if effects := m.state.standing(); m.Perform != nil && len(effects) > 0 {
		m.Perform(0, effects)
	}
	return nil
}

// Rollouts returns the book of rollouts. Only the goroutine that owns m may read
// it, and none may change it.
func (m *Machine) Rollouts() *roller.Book { return &m.state.rollouts }

// View returns a reading of the state.
func (m *Machine) View() View { return m.state.View() }

// outcomeOf returns the outcome among the effects of one event.
func outcomeOf(effects []Effect) Outcome {
	answer, _ := effects[len(effects)-1].(Answer)
	return answer.Outcome
}

// Revision returns the revision of the present configuration.
func (m *Machine) Revision() identifier.Revision { return m.state.configuration.revision }
