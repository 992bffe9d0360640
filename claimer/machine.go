package claimer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Apply applies committed entries in order and returns their encoded answers. It
// implements keeper.StateMachine.
func (t *Table) Apply(entries ...[]byte) [][]byte {
	answers := make([][]byte, len(entries))
	for i, entry := range entries {
		answers[i] = t.applyOne(entry)
	}
	return answers
}

// applyOne applies an entry and returns its encoded answer. An empty entry has
// no effect and no answer; a malformed one is answered with the problem.
func (t *Table) applyOne(entry []byte) []byte {
	if len(entry) == 0 {
		return nil
	}
	ev, err := DecodeEvent(entry)
	if err != nil {
		countAnswer(malformed{})
		return encodeAnswer(malformed{problem: err.Error()})
	}
	a := t.reduce(ev)
	countAnswer(a)
	return encodeAnswer(a)
}

// Len returns the number of held claims.
func (t *Table) Len() int { return len(t.held) }

// ReceiptBytes returns the total size of the encoded receipts.
func (t *Table) ReceiptBytes() int64 { return t.receiptBytes }

// answerCounters holds one counter for each kind of answer.
var answerCounters = func() map[string]*metrics.Counter {
	counters := make(map[string]*metrics.Counter)
	for _, kind := range []answer{Granted{}, Settled{}, InProgress{}, OutcomeUnknown{}, Reused{}, full{}, acknowledged{}, notHeld{}, malformed{}} {
		name := kindOf(kind)
		counters[name] = metrics.NewCounter(fmt.Sprintf("cyclamen_claim_answers_total{answer=%q}", name))
	}
	return counters
}()

// countAnswer increments the counter of the kind of a.
func countAnswer(a answer) { answerCounters[kindOf(a)].Inc() }

// kindOf returns the kind of an answer as the metric label names it.
func kindOf(a answer) string {
	switch a.(type) {
	case Granted:
		return "granted"
	case Settled:
		return "settled"
	case InProgress:
		return "inProgress"
	case OutcomeUnknown:
		return "lost"
	case Reused:
		return "reused"
	case full:
		return "full"
	case acknowledged:
		return "noted"
	case notHeld:
		return "notHeld"
	default:
		return "malformed"
	}
}
