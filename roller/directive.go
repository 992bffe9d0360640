package roller

import (
	"fmt"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
)

// Directive defines how the entry hosts split the requests of one service
// between its versions. A host follows the directive with the highest sequence
// number that it has received.
type Directive struct {
	Service identifier.Service   `json:"service"`
	Rollout identifier.RolloutID `json:"rollout,omitempty"`
	// Sequence increases with every directive of the service.
	Sequence  uint64             `json:"sequence"`
	Control   identifier.Version `json:"control"`
	Candidate identifier.Version `json:"candidate,omitempty"`
	// Replaces is set once a rollout is done: hosts whose fleet document still
	// names that version use Control instead.
	Replaces identifier.Version `json:"replaces,omitempty"`
	Level    Level              `json:"level"`
	// InFlight is the maximum number of in-flight requests on the candidate per
	// host; 0 means no limit.
	InFlight int `json:"inFlight,omitempty"`
	// Hosts is the number of entry hosts when the rollout began.
	Hosts int `json:"hosts"`
	// Thresholds are the latencies above which an answer counts as slow.
	Thresholds []Threshold `json:"thresholds,omitempty"`
	// Withdrawn is the version that a reverted rollout moved traffic to. Its
	// servers stay listed for some time.
	Withdrawn identifier.Version `json:"withdrawn,omitempty"`
	// ReportAll makes the hosts report successes as often as failures, and with
	// latencies. A short rollout needs the number of requests to choose its share,
	// and the latencies where thresholds are not known.
	ReportAll bool `json:"reportAll,omitempty"`
}

// check returns an error for a directive that no controller sends.
func (d *Directive) check() error {
	if err := d.Service.Check(); err != nil {
		return fmt.Errorf("rollout directive: %w", err)
	}
	if d.Rollout != "" && (d.Candidate == "" || d.Candidate == d.Control) {
		return fmt.Errorf("rollout directive %d names no two versions: run one version of cyclamend on all hosts", d.Sequence)
	}
	return nil
}

// Threshold is the latency above which an answer counts as slow in one cell.
type Threshold struct {
	CellKey
	Latency time.Duration `json:"latency"`
}

// The quantiles of the control's latency above which an answer counts as slow. A
// rollout with a cutover sees few answers, of which a lower quantile counts more.
const (
	slowQuantile        = 0.95
	cutoverSlowQuantile = 0.9
)

// minThresholdCount is the minimum number of answers that a threshold is
// computed from.
const minThresholdCount = 40

// Thresholds returns quantile q of the control's latency in each cell with
// enough answers. It must be given evidence from before the rollout: the test is valid
// only if the thresholds are fixed before the events that it counts.
func Thresholds(cs Cells, q float64) []Threshold {
	var out []Threshold
	for k, c := range cs {
		if d, ok := quantile(c.Latency[Control], q); ok {
			out = append(out, Threshold{CellKey: k, Latency: d})
		}
	}
	sortThresholds(out)
	return out
}

// sortThresholds sorts the thresholds by cell.
func sortThresholds(ts []Threshold) {
	slices.SortFunc(ts, func(a, b Threshold) int { return compareKeys(a.CellKey, b.CellKey) })
}

// quantile returns the upper bound of the bucket that contains quantile q, and
// false if the histogram has fewer than minThresholdCount answers.
func quantile(h *Histogram, q float64) (time.Duration, bool) {
	i, ok := quantileBucket(h, q)
	if !ok {
		return 0, false
	}
	return bucketEnd(i), true
}

// quantileBucket returns the bucket that contains quantile q, and false if the
// histogram has fewer than minThresholdCount answers.
func quantileBucket(h *Histogram, q float64) (int, bool) {
	if h == nil {
		return 0, false
	}
	var n uint64
	for _, c := range h {
		n += c
	}
	if n < minThresholdCount {
		return 0, false
	}
	rank := uint64(float64(n) * q)
	var seen uint64
	for i, c := range h {
		seen += c
		if seen > rank {
			return i, true
		}
	}
	return numBuckets - 1, true
}
