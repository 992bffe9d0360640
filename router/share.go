package router

import (
	"math"
	"sync/atomic"
)

// Sizes of the share sketch.
const (
	sketchRows    = 2
	sketchColumns = 1 << 13
	// sketchWindow is after how many requests all counts are halved.
	sketchWindow = 1 << 13
)

// shareSketch estimates each prefix's share of the recent requests, in bounded
// memory (Cormode and Muthukrishnan, "An Improved Data Stream Summary: The
// Count-Min Sketch and its Applications", 2005). Estimates are never too low
// by more than what concurrent halving loses.
//
// A share needs no talk between hosts: behind a balancer each host sees a
// random sample of the requests, and a sample has the same shares as the
// whole, however many hosts there are.
type shareSketch struct {
	total atomic.Int64
	cells [sketchRows][sketchColumns]atomic.Uint32
}

// begin counts one request.
func (s *shareSketch) begin() {
	if s.total.Add(1) == sketchWindow {
		s.halve()
	}
}

// add counts a prefix of the request and returns the share of the recent
// requests that it surely has: what was counted before, less its standard
// deviation. A prefix that was seen once among few requests is no evidence that
// it needs more than one server, and every copy of it has to be computed.
func (s *shareSketch) add(b Block) float64 {
	h := mix(uint64(b))
	count := min(
		s.cells[0][h%sketchColumns].Add(1),
		s.cells[1][(h>>32)%sketchColumns].Add(1),
	)
	total := s.total.Load()
	if total <= 1 || count <= 1 {
		return 0
	}
	before := float64(count - 1)
	return (before - math.Sqrt(before)) / float64(total)
}

// count returns about how many recent requests a share is.
func (s *shareSketch) count(share float64) float64 { return share * float64(s.total.Load()) }

// halve halves every count. Concurrent additions may be lost, which is harmless
// in an estimate.
func (s *shareSketch) halve() {
	for r := range s.cells {
		for c := range s.cells[r] {
			cell := &s.cells[r][c]
			cell.Store(cell.Load() / 2)
		}
	}
	s.total.Store(sketchWindow / 2)
}
