package roller

import (
	"errors"
	"fmt"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"cyclamenhub.org/identifier"
)

// The limits of a report. A host whose report exceeds them is faulty.
const (
	maxReportCells = 256
	maxReportBytes = 1 << 20
)

// ReportError is returned for bytes that cannot be a host's report.
type ReportError struct{ Problem string }

// Error describes the problem and its remedy.
func (e *ReportError) Error() string {
	return "evidence report: " + e.Problem + ": run one version of cyclamend on all hosts"
}

// The protobuf field numbers of a report and of a cell. They must not change,
// since hosts of two releases exchange reports.
const (
	fieldHost       protowire.Number = 1
	fieldEpoch      protowire.Number = 2
	fieldService    protowire.Number = 3
	fieldRollout    protowire.Number = 4
	fieldCell       protowire.Number = 5
	fieldHasVerdict protowire.Number = 6
	fieldControl    protowire.Number = 7

	fieldRoute    protowire.Number = 1
	fieldBand     protowire.Number = 2
	fieldCounters protowire.Number = 3
)

// Encode returns the report as a protobuf message. Counters that are 0 are
// omitted; the others are encoded as pairs of index and value. Of the verdicts
// only their presence is encoded, since the receiver runs the tests itself.
func (r *Report) Encode() []byte {
	var b []byte
	b = appendString(b, fieldHost, string(r.Host))
	b = appendVarint(b, fieldEpoch, uint64(r.Epoch))
	b = appendString(b, fieldService, string(r.Service))
	b = appendString(b, fieldRollout, string(r.Rollout))
	b = appendString(b, fieldControl, string(r.Control))
	b = appendVarint(b, fieldHasVerdict, uint64(len(r.Verdicts)))
	for _, k := range r.Cells.keys() {
		b = protowire.AppendTag(b, fieldCell, protowire.BytesType)
		b = protowire.AppendBytes(b, encodeCell(k, r.Cells[k]))
	}
	return b
}

// keys returns the keys of the cells, sorted.
func (cs Cells) keys() []CellKey {
	out := make([]CellKey, 0, len(cs))
	for k := range cs {
		out = append(out, k)
	}
	slices.SortFunc(out, compareKeys)
	return out
}

func appendString(b []byte, n protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, n, protowire.BytesType), s)
}

func appendVarint(b []byte, n protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

func encodeCell(k CellKey, c *Cell) []byte {
	var b, counters []byte
	b = appendString(b, fieldRoute, string(k.Route))
	b = appendVarint(b, fieldBand, uint64(k.Band))
	last := 0
	c.eachCounter(func(index int, v *uint64) {
		if *v == 0 {
			return
		}
		counters = protowire.AppendVarint(counters, uint64(index-last))
		counters = protowire.AppendVarint(counters, *v)
		last = index
	})
	b = protowire.AppendTag(b, fieldCounters, protowire.BytesType)
	return protowire.AppendBytes(b, counters)
}

// eachCounter calls f with every counter and its index, which is the same in
// every release.
func (c *Cell) eachCounter(f func(index int, v *uint64)) {
	index := 0
	next := func(v *uint64) {
		f(index, v)
		index++
	}
	for a := range numArms {
		for l := range numLevels {
			t := &c.Tallies[a][l]
			next(&t.Requests)
			next(&t.Failed)
			next(&t.Slow)
		}
		next(&c.Unreachable[a])
		next(&c.Reclaimed[a])
		c.eachLatency(Arm(a), next)
	}
}

// eachLatency calls next with every counter of an arm's histogram. A nil
// histogram counts as empty, and stays nil unless next sets a counter.
func (c *Cell) eachLatency(a Arm, next func(v *uint64)) {
	h := c.Latency[a]
	if h == nil {
		h = &Histogram{}
	}
	for b := range h {
		next(&h[b])
	}
	if *h != (Histogram{}) {
		c.Latency[a] = h
	}
}

// DecodeReport decodes and checks a report that Encode encoded.
func DecodeReport(b []byte) (Report, error) {
	r := Report{Cells: make(Cells)}
	if len(b) > maxReportBytes {
		return r, &ReportError{Problem: fmt.Sprintf("%d bytes are too many", len(b))}
	}
	err := eachField(b, func(n protowire.Number, v uint64, s []byte) error {
		switch n {
		case fieldHost:
			r.Host = identifier.Host(s)
		case fieldEpoch:
			r.Epoch = Epoch(v)
		case fieldService:
			r.Service = identifier.Service(s)
		case fieldRollout:
			r.Rollout = identifier.RolloutID(s)
		case fieldControl:
			r.Control = identifier.Version(s)
		case fieldHasVerdict:
			r.Verdicts = make([]Verdict, min(v, 1))
		case fieldCell:
			return r.decodeCell(s)
		}
		return nil
	})
	if err != nil {
		return r, &ReportError{Problem: err.Error()}
	}
	return r, r.check()
}

// check returns an error if the report does not name a valid host and service.
func (r *Report) check() error {
	if err := errors.Join(r.Host.Check(), r.Service.Check()); err != nil {
		return &ReportError{Problem: err.Error()}
	}
	return nil
}

func (r *Report) decodeCell(b []byte) error {
	if len(r.Cells) >= maxReportCells {
		return errors.New("too many cells")
	}
	var k CellKey
	var c Cell
	err := eachField(b, func(n protowire.Number, v uint64, s []byte) error {
		switch n {
		case fieldRoute:
			k.Route = identifier.Route(s)
		case fieldBand:
			k.Band = Band(min(v, numBands))
		case fieldCounters:
			return decodeCounters(s, &c)
		}
		return nil
	})
	if err != nil {
		return err
	}
	if k.Band >= numBands {
		return errors.New("an unknown load band")
	}
	r.Cells[k] = &c
	return nil
}

// decodeCounters decodes the pairs of index and value.
func decodeCounters(b []byte, c *Cell) error {
	var err error
	next, v, b := nextCounter(b, -1, &err)
	c.eachCounter(func(index int, counter *uint64) {
		if index != next || err != nil {
			return
		}
		*counter = v
		next, v, b = nextCounter(b, next, &err)
	})
	if err == nil && next >= 0 {
		return errors.New("a counter at an unknown place")
	}
	return err
}

// nextCounter decodes one pair. Its index is relative to last, or to 0 if last
// is negative. At the end it returns a negative index.
func nextCounter(b []byte, last int, err *error) (index int, v uint64, rest []byte) {
	if len(b) == 0 {
		return -1, 0, nil
	}
	step, n := protowire.ConsumeVarint(b)
	if n < 0 {
		*err = protowire.ParseError(n)
		return -1, 0, nil
	}
	v, m := protowire.ConsumeVarint(b[n:])
	if m < 0 || step > maxReportBytes || last >= 0 && step == 0 {
		*err = errors.New("a torn counter")
		return -1, 0, nil
	}
	return max(last, 0) + int(step), v, b[n+m:]
}

// eachField calls f with every field of a message: its number, and its value as
// an integer or as bytes. For a field of another type both values are zero.
func eachField(b []byte, f func(n protowire.Number, v uint64, s []byte) error) error {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		var v uint64
		var s []byte
		switch typ {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			s, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(num, typ, b)
		}
		if n < 0 {
			return protowire.ParseError(n)
		}
		if err := f(num, v, s); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}
