package roller

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
	"unsafe"

	"cyclamenhub.org/identifier"
)

// benchRoutes returns n routes.
func benchRoutes(n int) []identifier.Route {
	out := make([]identifier.Route, n)
	for i := range out {
		out[i] = identifier.Route(fmt.Sprintf("POST /route-%d", i))
	}
	return out
}

// busyEvaluator returns an evaluator with counters in every cell.
func busyEvaluator(host, routes int) *Evaluator {
	rs := benchRoutes(routes)
	e := NewEvaluator(Source{Host: identifier.Host(fmt.Sprintf("host-%03d", host)), Epoch: 1}, "brief-model", "v1", rs)
	e.Apply(Directive{
		Service: "brief-model", Rollout: "move-1", Sequence: 1, Control: "v1", Candidate: "v2",
		Level: LevelOf(0.1), Hosts: 340,
	}, testTime)
	rng := rand.New(rand.NewPCG(uint64(host), 4))
	for i := range 3000 * routes {
		t := e.Pick(identifier.RequestID(strconv.Itoa(i)), rs[i%routes], Band(rng.IntN(numBands)))
		o := Succeeded
		if rng.IntN(100) == 0 {
			o = Failed
		}
		e.Observe(t, Result{Outcome: o, Latency: time.Duration(rng.ExpFloat64() * float64(time.Second))})
	}
	return e
}

// BenchmarkPickAndObserve measures the cost that a rollout adds to each
// request, with requests on all processors.
func BenchmarkPickAndObserve(b *testing.B) {
	e := busyEvaluator(1, 8)
	rs := benchRoutes(8)
	ids := make([]identifier.RequestID, 1<<12)
	for i := range ids {
		ids[i] = identifier.NewRequestID()
	}
	var sequence atomic.Uint64
	b.RunParallel(func(pb *testing.PB) {
		n := sequence.Add(1) * 997
		for pb.Next() {
			n++
			t := e.Pick(ids[n%uint64(len(ids))], rs[n%8], LightLoad)
			e.Observe(t, Result{Outcome: Succeeded, Latency: time.Duration(n%1000) * time.Millisecond})
		}
	})
}

// BenchmarkEvaluate measures one run of a host's own tests.
func BenchmarkEvaluate(b *testing.B) {
	e := busyEvaluator(1, 8)
	for b.Loop() {
		e.evaluatedAdverse = 0
		e.Evaluate()
	}
}

// BenchmarkReport measures making one report, its size, and the size of the
// counters that it is made from.
func BenchmarkReport(b *testing.B) {
	for _, routes := range []int{1, 3, 8} {
		b.Run(fmt.Sprint(routes, " routes"), func(b *testing.B) {
			e := busyEvaluator(1, routes)
			var size int
			for b.Loop() {
				r := e.Report()
				size = len(r.Encode())
			}
			b.ReportMetric(float64(size), "B/report")
			b.ReportMetric(float64(liveBytes(e)), "B/counters")
		})
	}
}

// liveBytes returns the size of an evaluator's counters.
func liveBytes(e *Evaluator) int {
	n := 0
	slots := e.split.Load().trial.slots
	for i := range slots {
		n += int(unsafe.Sizeof(slots[i]))
		for s := range slots[i].shards {
			if slots[i].shards[s].Load() != nil {
				n += int(unsafe.Sizeof(liveCell{}))
			}
		}
	}
	return n
}

// BenchmarkMerge measures decoding and merging one report and running the tests
// on the sum, in a controller that has the evidence of all hosts.
func BenchmarkMerge(b *testing.B) {
	for _, hosts := range []int{9, 340} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			var state State
			if _, err := state.Apply(StartRollout{
				ID: "move-1", Service: "brief-model", From: "v1", To: "v2", At: testTime,
				Deadline: testTime.Add(time.Hour), Watch: time.Hour, FirstLevel: 3, Hosts: hosts, Routes: 9,
			}); err != nil {
				b.Fatal(err)
			}
			c := NewController(&state)
			var reports [][]byte
			for h := range hosts {
				r := busyEvaluator(h, 8).Report()
				reports = append(reports, r.Encode())
			}
			for i := 0; b.Loop(); i++ {
				r, err := DecodeReport(reports[i%hosts])
				if err != nil {
					b.Fatal(err)
				}
				c.Merge(r)
				c.Decide(testTime)
			}
			b.ReportMetric(float64(hosts*len(c.evidenceFor(evidenceKey{"brief-model", "move-1", "v1"}).Sum())*int(unsafe.Sizeof(Cell{}))), "B/evidence")
		})
	}
}
