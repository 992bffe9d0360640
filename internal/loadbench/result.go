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

// Result is the outcome of a run. Requests that arrived in the warm-up are not
// counted.
type Result struct {
	Counts
	// Refused counts refusals by kind.
	Refused map[refuser.Kind]int
	// Customers holds the counts of each customer.
	Customers map[identifier.Customer]*Counts
	// FirstToken is the histogram of the times from arrival to first token, in
	// microseconds.
	FirstToken *hdrhistogram.Histogram
	// Recomputed is the share of the prompt tokens that engines computed. Novel
	// is the share that no earlier prompt contained, so that no cache could
	// hold it.
	Recomputed, Novel float64
	// Spilled is the share of the attempts sent to another failure domain.
	Spilled float64
	// Imbalance is the longest busy time of a server divided by the mean.
	Imbalance float64
	// PeakImbalance is the highest number of requests that a server held at
	// once, divided by the mean of all servers' highest numbers.
	PeakImbalance float64
	// PriceHours is the price of the fleet over the counted time.
	// BusyPriceHours is the price of the time in which the servers computed.
	PriceHours, BusyPriceHours float64
	// Seconds is the length of the counted time.
	Seconds float64
}

// Counts holds numbers of requests.
type Counts struct {
	Offered, Granted, Answered int
	// InTime counts requests whose first token came within the target and whose
	// complete answer came by the deadline.
	InTime int
	// Attempts counts all attempts, Retries those after the first one of a
	// request.
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

// customer returns the counts of a customer and creates them if necessary.
func (r *Result) customer(c identifier.Customer) *Counts {
	n, ok := r.Customers[c]
	if !ok {
		n = &Counts{}
		r.Customers[c] = n
	}
	return n
}

// Quantile returns a quantile of the time to first token, for q from 0 to 100.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.FirstToken.ValueAtQuantile(q)) * time.Microsecond
}

// InTimeShare returns the share of the offered requests that were answered in
// time.
func (c *Counts) InTimeShare() float64 {
	if c.Offered == 0 {
		return 0
	}
	return float64(c.InTime) / float64(c.Offered)
}

// Goodput returns the number of answers in time per second.
func (r *Result) Goodput() float64 { return float64(r.InTime) / r.Seconds }

// PricePerThousand returns the price of the fleet for 1000 answers in time.
func (r *Result) PricePerThousand() float64 { return 1000 * r.PriceHours / float64(max(r.InTime, 1)) }

// BusyPricePerThousand returns the price of the computing time for 1000 answers
// in time.
func (r *Result) BusyPricePerThousand() float64 {
	return 1000 * r.BusyPriceHours / float64(max(r.InTime, 1))
}
