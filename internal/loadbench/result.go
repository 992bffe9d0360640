package loadbench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// Bounds of the latency histograms, in microseconds.
const (
	latencyMin    = 1
	latencyMax    = int64(time.Hour / time.Microsecond)
	latencyDigits = 3
)

// Result is what a run came to. Requests that arrived in the warm-up are not
// counted.
type Result struct {
	Counts
	// Refused counts refusals by kind.
	Refused map[refuser.Kind]int
	// Customers holds the counts of each customer.
	Customers map[identifier.Customer]*Counts
	// FirstToken holds the times from arrival to first token, in microseconds.
	FirstToken *hdrhistogram.Histogram
	// Recomputed is the part of the prompt tokens that engines computed, Novel
	// the part that no earlier prompt held and that had to be computed.
	Recomputed, Novel float64
	// Spilled is the part of the attempts sent to another failure domain.
	Spilled float64
	// Imbalance is the greatest busy time of a server over the mean.
	Imbalance float64
	// PeakImbalance is the greatest number of requests that a server ever held
	// at once, over the mean of all servers' greatest numbers.
	PeakImbalance float64
	// PriceHours is the price of the fleet over the counted time, BusyPriceHours
	// that of the time in which the servers computed.
	PriceHours, BusyPriceHours float64
	// Seconds is the counted time.
	Seconds float64
}

// Counts count requests.
type Counts struct {
	Offered, Granted, Answered int
	// InTime had their first token within the target and the whole answer by
	// the deadline.
	InTime int
	// Attempts counts sends, Retries those after the first.
	Attempts, Retries int
}

// newResult returns an empty result.
func newResult() *Result {
	return &Result{
		Refused:    make(map[refuser.Kind]int),
		Customers:  make(map[identifier.Customer]*Counts),
		FirstToken: hdrhistogram.New(latencyMin, latencyMax, latencyDigits),
	}
}

// customer returns the counts of a customer.
func (r *Result) customer(c identifier.Customer) *Counts {
	n, ok := r.Customers[c]
	if !ok {
		n = &Counts{}
		r.Customers[c] = n
	}
	return n
}

// Quantile returns a quantile of the time to the first token, q from 0 to 100.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.FirstToken.ValueAtQuantile(q)) * time.Microsecond
}

// InTimeShare is the part of the offered requests that were answered in time.
func (c *Counts) InTimeShare() float64 {
	if c.Offered == 0 {
		return 0
	}
	return float64(c.InTime) / float64(c.Offered)
}

// Goodput is the answers in time a second.
func (r *Result) Goodput() float64 { return float64(r.InTime) / r.Seconds }

// PricePerThousand is the price of the fleet for 1000 answers in time.
func (r *Result) PricePerThousand() float64 { return 1000 * r.PriceHours / float64(max(r.InTime, 1)) }

// BusyPricePerThousand is the price of the computing time for 1000 answers in
// time.
func (r *Result) BusyPricePerThousand() float64 {
	return 1000 * r.BusyPriceHours / float64(max(r.InTime, 1))
}
