package admitter

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/refuser"
)

// counters holds the metrics of an Admitter.
type counters struct {
	set                              *metrics.Set
	granted, retries, retriesRefused *metrics.Counter
	results                          [Abandoned + 1]*metrics.Counter
}

// newCounters registers the metrics of a in set.
func newCounters(set *metrics.Set, a *Admitter) *counters {
	c := &counters{
		set:            set,
		granted:        set.GetOrCreateCounter("cyclamen_admitter_granted_total"),
		retries:        set.GetOrCreateCounter("cyclamen_admitter_retries_total"),
		retriesRefused: set.GetOrCreateCounter("cyclamen_admitter_retries_refused_total"),
	}
	for r, name := range [...]string{Succeeded: "succeeded", Failed: "failed", Abandoned: "abandoned"} {
		c.results[r] = set.GetOrCreateCounter(fmt.Sprintf("cyclamen_admitter_done_total{result=%q}", name))
	}
	set.GetOrCreateGauge("cyclamen_admitter_queued", func() float64 {
		queued, _ := a.totals()
		return float64(queued)
	})
	set.GetOrCreateGauge("cyclamen_admitter_in_flight", func() float64 {
		_, inFlight := a.totals()
		return float64(inFlight)
	})
	return c
}

// refused returns the counter of refusals of kind k.
func (c *counters) refused(k refuser.Kind) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("cyclamen_admitter_refused_total{kind=%q}", k))
}

// done returns the counter of requests that ended with r.
func (c *counters) done(r Result) *metrics.Counter { return c.results[min(r, Abandoned)] }

// totals returns the queued and in-flight requests over all services.
func (a *Admitter) totals() (queued, inFlight int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.services {
		queued += s.queue.length
		inFlight += s.inFlight
	}
	return queued, inFlight
}
