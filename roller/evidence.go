package roller

import (
	"cmp"
	"maps"
	"slices"

	"cyclamenhub.org/identifier"
)

// OtherRoute represents all routes that are not listed in the settings.
const OtherRoute identifier.Route = ""

// CellKey identifies one cell of evidence: a route in a load band.
type CellKey struct {
	Route identifier.Route `json:"route"`
	Band  Band             `json:"band"`
}

// compareKeys orders cells by route and then by band.
func compareKeys(a, b CellKey) int {
	return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Band, b.Band))
}

// Tally counts the requests of one arm that were assigned at one level.
type Tally struct {
	// Requests counts the requests that ended in Succeeded or Failed.
	Requests uint64 `json:"requests,omitempty"`
	// Failed counts the requests that ended in Failed.
	Failed uint64 `json:"failed,omitempty"`
	// Slow counts the answers whose first content took longer than the cell's
	// threshold.
	Slow uint64 `json:"slow,omitempty"`
}

// add adds the counts of o, which must be of other requests.
func (t *Tally) add(o Tally) {
	t.Requests += o.Requests
	t.Failed += o.Failed
	t.Slow += o.Slow
}

// Cell is the evidence of one route in one load band. All its fields are
// counters that only increase.
type Cell struct {
	Tallies     [numArms][numLevels]Tally
	Unreachable [numArms]uint64
	Reclaimed   [numArms]uint64
	// Latency is a histogram of the successes, or nil if it was not sent.
	Latency [numArms]*Histogram
}

// Histogram counts answers by latency, with four buckets per octave above 1 ms.
type Histogram [numBuckets]uint64

// join raises each counter of c to at least that of o: the join of two states
// of one grow-only counter.
func (c *Cell) join(o *Cell) {
	c.combine(o, func(a, b uint64) uint64 { return max(a, b) })
}

// add adds the counters of o, which must count other requests.
func (c *Cell) add(o *Cell) {
	c.combine(o, func(a, b uint64) uint64 { return a + b })
}

// sum returns the sum of the tallies of an arm from level from up to, but not
// including, level to.
func (c *Cell) sum(a Arm, from, to Level) Tally {
	var sum Tally
	for _, t := range c.Tallies[a][from:to] {
		sum.add(t)
	}
	return sum
}

func (c *Cell) combine(o *Cell, f func(a, b uint64) uint64) {
	for a := range numArms {
		for l := range numLevels {
			t, u := &c.Tallies[a][l], &o.Tallies[a][l]
			t.Requests = f(t.Requests, u.Requests)
			t.Failed = f(t.Failed, u.Failed)
			t.Slow = f(t.Slow, u.Slow)
		}
		c.combineLatency(Arm(a), o, f)
		c.Unreachable[a] = f(c.Unreachable[a], o.Unreachable[a])
		c.Reclaimed[a] = f(c.Reclaimed[a], o.Reclaimed[a])
	}
}

// combineLatency combines the histograms of one arm.
func (c *Cell) combineLatency(a Arm, o *Cell, f func(a, b uint64) uint64) {
	if o.Latency[a] == nil {
		return
	}
	h := c.histogram(a)
	for i, n := range o.Latency[a] {
		h[i] = f(h[i], n)
	}
}

// histogram returns the histogram of an arm, adding an empty one if there is
// none.
func (c *Cell) histogram(a Arm) *Histogram {
	if c.Latency[a] == nil {
		c.Latency[a] = &Histogram{}
	}
	return c.Latency[a]
}

// Cells is the evidence of one or more hosts.
type Cells map[CellKey]*Cell

// cell returns the cell of k, adding an empty one if there is none.
func (cs Cells) cell(k CellKey) *Cell {
	c := cs[k]
	if c == nil {
		c = &Cell{}
		cs[k] = c
	}
	return c
}

// Join raises each counter of cs to at least that of o.
func (cs Cells) Join(o Cells) {
	for k, c := range o {
		cs.cell(k).join(c)
	}
}

// Add adds the counters of o, which must count other requests.
func (cs Cells) Add(o Cells) {
	for k, c := range o {
		cs.cell(k).add(c)
	}
}

// Clone returns a deep copy.
func (cs Cells) Clone() Cells {
	out := make(Cells, len(cs))
	out.Add(cs)
	return out
}

// Total returns the sum of all tallies of an arm.
func (cs Cells) Total(a Arm) Tally { return cs.sum(a, NoLevel, numLevels) }

// sum returns the sum of the tallies of an arm from level from up to, but not
// including, level to.
func (cs Cells) sum(a Arm, from, to Level) Tally {
	var sum Tally
	for _, c := range cs {
		sum.add(c.sum(a, from, to))
	}
	return sum
}

// totalBelowTop returns the sum of the tallies of an arm at the levels at which
// both arms get requests.
func (cs Cells) totalBelowTop(a Arm) Tally {
	return cs.sum(a, NoLevel+1, TopLevel)
}

// Epoch numbers the starts of a host's process. The counters are reset at each
// start.
type Epoch uint64

// Source identifies who counted a report: one run of one host's process.
type Source struct {
	Host  identifier.Host `json:"host"`
	Epoch Epoch           `json:"epoch"`
}

// Report holds what one host has counted for one rollout since its process
// started. An empty rollout id denotes the time outside any rollout.
type Report struct {
	Source
	Service identifier.Service
	Rollout identifier.RolloutID
	// Control is the service's current version at the time of the report.
	Control identifier.Version
	Cells   Cells
	// Verdicts are those that the host reached from its own counters and acts
	// on.
	Verdicts []Verdict
}

// Evidence holds the counters of one rollout from all hosts. It is a
// state-based replicated counter (Shapiro, Preguiça, Baquero and Zawirski,
// "Conflict-free replicated data types", 2011): Merge is commutative,
// associative and idempotent.
type Evidence struct {
	sources map[Source]Cells
	sum     Cells
}

// NewEvidence returns evidence without any counters.
func NewEvidence() *Evidence {
	return &Evidence{sources: make(map[Source]Cells), sum: make(Cells)}
}

// Merge merges the counters of one source.
func (e *Evidence) Merge(s Source, cs Cells) {
	cells := e.sources[s]
	if cells == nil {
		cells = make(Cells, len(cs))
		e.sources[s] = cells
	}
	for k, c := range cs {
		e.mergeCell(cells, k, c)
	}
}

// mergeCell joins c into one source's cell and updates the sum by the growth of
// the source's counters.
func (e *Evidence) mergeCell(cells Cells, k CellKey, c *Cell) {
	cell, sum := cells.cell(k), e.sum.cell(k)
	sum.combine(cell, func(a, b uint64) uint64 { return a - b })
	cell.join(c)
	sum.add(cell)
}

// MergeAll merges the counters of all sources in o.
func (e *Evidence) MergeAll(o *Evidence) {
	for s, cs := range o.sources {
		e.Merge(s, cs)
	}
}

// Sum returns the total counters of all sources. The caller must not change
// them.
func (e *Evidence) Sum() Cells { return e.sum }

// Sources returns the sources, sorted by host and epoch.
func (e *Evidence) Sources() []Source {
	return slices.SortedFunc(maps.Keys(e.sources), func(a, b Source) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Epoch, b.Epoch))
	})
}
