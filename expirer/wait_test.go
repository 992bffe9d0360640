package expirer

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestWaitsKeepTheLongestLimit plays reads, answers and changes of limits. No wait may end
// before the longest limit in force since it began, or later than a tenth after it.
func TestWaitsKeepTheLongestLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func() Limits {
			return Limits{Header: time.Duration(rapid.IntRange(1, 1e12).Draw(t, "header")), Idle: time.Duration(rapid.IntRange(1, 1e12).Draw(t, "idle"))}
		}
		of := func(l Limits, a activity) time.Duration { return []time.Duration{l.Idle, l.Header, l.Idle}[a] }
		now, l := time.Unix(0, 0), draw()
		w := newWait(now, l, rapid.Float64Range(0, 1).Draw(t, "spread"))
		doing, longest, start := idle, l.Idle, now
		begin := func(a activity) { doing, start, longest = a, now, of(l, a) }
		t.Repeat(map[string]func(*rapid.T){
			"time":       func(t *rapid.T) { now = now.Add(time.Duration(rapid.IntRange(0, 1e9).Draw(t, "passed"))) },
			"line break": func(*rapid.T) { w.arrived([]byte("\r\n"), 4096, now, l) },
			"limits": func(*rapid.T) {
				l = draw()
				w.raise(l)
				longest = max(longest, of(l, doing))
			},
			"bytes": func(*rapid.T) {
				if w.arrived([]byte("GET"), 4096, now, l); doing == idle {
					begin(sending)
				}
			},
			"answer": func(*rapid.T) {
				if doing == sending {
					w.answer(l)
					begin(busy)
				}
			},
			"next": func(t *rapid.T) {
				if doing != busy {
					return
				}
				former, next := longest, idle
				if rapid.Bool().Draw(t, "ahead") {
					w.arrived([]byte("G"), 1, now, l)
					former, next = 0, sending
				}
				w.awaitRequest(now, l)
				begin(next)
				longest = max(longest, former)
			},
			"": func(t *rapid.T) {
				end, limited := w.end()
				lasts := end.Sub(start)
				if w.doing != doing || limited != (doing != busy) || limited && (lasts < longest || lasts > longest+longest/10+1) {
					t.Fatalf("activity %d lasts %v (%v), want %d and %v", w.doing, lasts, limited, doing, longest)
				}
			},
		})
	})
}
