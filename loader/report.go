package loader

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the longest latency that the histograms can record.
	maxLatency = time.Hour
	// significantDigits is the precision of the histograms in decimal digits.
	significantDigits = 3
)

// Quantiles summarizes a distribution of durations in microseconds.
type Quantiles struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50Us"`
	P95   int64 `json:"p95Us"`
	P99   int64 `json:"p99Us"`
	Max   int64 `json:"maxUs"`
}

// Report holds the measurements of a run.
type Report struct {
	// Started counts the requests that were started or dropped.
	Started int64 `json:"started"`
	// Answered counts the complete answers.
	Answered int64 `json:"answered"`
	// Events counts the events of streams, without the terminal markers.
	Events int64 `json:"events"`
	// Failures counts the other requests by refusal kind or error class.
	Failures map[string]int64 `json:"failures"`
	Elapsed  time.Duration    `json:"elapsedNs"`
	// AnsweredPerSecond and EventsPerSecond are rates over Elapsed.
	AnsweredPerSecond float64 `json:"answeredPerSecond"`
	EventsPerSecond   float64 `json:"eventsPerSecond"`
	// FirstByte is the time to the first event of a stream, or to the header of
	// any other answer.
	FirstByte Quantiles `json:"firstByte"`
	// Between is the time between consecutive events of a stream.
	Between Quantiles `json:"between"`
	Total   Quantiles `json:"total"`
}

// recorder collects results. It is safe for concurrent use.
type recorder struct {
	mu                        sync.Mutex
	answered, events          int64
	failures                  map[string]int64
	firstByte, between, total *hdr.Histogram
}

// newRecorder returns an empty recorder.
func newRecorder() *recorder {
	h := func() *hdr.Histogram { return hdr.New(1, maxLatency.Microseconds(), significantDigits) }
	return &recorder{failures: make(map[string]int64), firstByte: h(), between: h(), total: h()}
}

// add records one result.
func (r *recorder) add(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events += res.events
	if res.failure != "" {
		r.failures[res.failure]++
		return
	}
	r.answered++
	record(r.firstByte, res.firstByte)
	record(r.total, res.total)
	for _, d := range res.betweenEvents {
		record(r.between, d)
	}
}

// record adds d to a histogram. A duration outside the range is recorded as the
// nearest limit of the range.
func record(h *hdr.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatency.Microseconds()))
}

// counts returns the number of complete answers and the number of failures.
func (r *recorder) counts() (answered, failed int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.failures {
		failed += n
	}
	return r.answered, failed
}

// finish returns the report of a run.
func (r *recorder) finish(started int64, elapsed time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return &Report{
		Started: started, Answered: r.answered, Events: r.events, Failures: maps.Clone(r.failures),
		Elapsed:           elapsed,
		AnsweredPerSecond: float64(r.answered) / elapsed.Seconds(),
		EventsPerSecond:   float64(r.events) / elapsed.Seconds(),
		FirstByte:         quantilesOf(r.firstByte), Between: quantilesOf(r.between), Total: quantilesOf(r.total),
	}
}

// quantilesOf summarizes h.
func quantilesOf(h *hdr.Histogram) Quantiles {
	return Quantiles{
		Count: h.TotalCount(),
		P50:   h.ValueAtQuantile(50), P95: h.ValueAtQuantile(95), P99: h.ValueAtQuantile(99),
		Max: h.Max(),
	}
}

// WriteTable writes the report to w as a human-readable table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "started\t%d\nanswered\t%d\t%.1f/s\nevents\t%d\t%.1f/s\n",
		r.Started, r.Answered, r.AnsweredPerSecond, r.Events, r.EventsPerSecond)
	for _, k := range slices.Sorted(maps.Keys(r.Failures)) {
		fmt.Fprintf(t, "failed: %s\t%d\n", k, r.Failures[k])
	}
	fmt.Fprintf(t, "\ntime\tp50\tp95\tp99\tmax\n")
	writeQuantiles(t, "first byte", r.FirstByte)
	if r.Between.Count > 0 {
		writeQuantiles(t, "between events", r.Between)
	}
	writeQuantiles(t, "whole answer", r.Total)
	return t.Flush()
}

// writeQuantiles writes one row of durations.
func writeQuantiles(w io.Writer, name string, q Quantiles) {
	us := func(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
	fmt.Fprintf(w, "%s\t%v\t%v\t%v\t%v\n", name, us(q.P50), us(q.P95), us(q.P99), us(q.Max))
}
