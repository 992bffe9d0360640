package claimer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/identifier"
)

// Apply applies a committed entry and returns its encoded answer. An empty
// entry changes nothing and has no answer.
func (t *Table) Apply(_ identifier.LogIndex, entry []byte) []byte {
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

// ReceiptBytes returns the size of the kept receipts.
func (t *Table) ReceiptBytes() int64 { return t.receiptBytes }

// answerCounters counts answers by their kind.
var answerCounters = func() map[string]*metrics.Counter {
	counters := make(map[string]*metrics.Counter)
	for _, kind := range []answer{Granted{}, Settled{}, InProgress{}, Lost{}, Reused{}, full{}, noted{}, notHeld{}, malformed{}} {
		name := kindOf(kind)
		counters[name] = metrics.NewCounter(fmt.Sprintf("cyclamen_claim_answers_total{answer=%q}", name))
	}
	return counters
}()

// countAnswer counts a.
func countAnswer(a answer) { answerCounters[kindOf(a)].Inc() }

// kindOf names the kind of an answer.
func kindOf(a answer) string {
	switch a.(type) {
	case Granted:
		return "granted"
	case Settled:
		return "settled"
	case InProgress:
		return "inProgress"
	case Lost:
		return "lost"
	case Reused:
		return "reused"
	case full:
		return "full"
	case noted:
		return "noted"
	case notHeld:
		return "notHeld"
	default:
		return "malformed"
	}
}
