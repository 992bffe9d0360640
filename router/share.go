package router

import (
	"math"
	"sync/atomic"
)

// Sizes of the share sketch.
const (
	sketchRows    = 2
	sketchColumns = 1 << 13
	// sketchWindow is the number of requests after which all counts are halved.
	sketchWindow = 1 << 13
)

// shareSketch estimates each prefix's share of the recent requests in bounded
// memory (Cormode and Muthukrishnan, "An Improved Data Stream Summary: The
// Count-Min Sketch and its Applications", 2005). Its counts are never too low
// by more than what concurrent halving loses.
//
// Hosts need not exchange shares. Behind a balancer, each host receives a
// random sample of the requests, and the shares in the sample are those of all
// requests, whatever the number of hosts.
type shareSketch struct {
	total atomic.Int64
	cells [sketchRows][sketchColumns]atomic.Uint32
}

// countRequest counts one request.
func (s *shareSketch) countRequest() {
	if s.total.Add(1) == sketchWindow {
		s.halve()
	}
}

// add counts a prefix of the request and returns a low estimate of its share of
// the recent requests: the earlier count minus its standard deviation. A prefix
// that occurred once in a few requests does not justify more than one server,
// and each additional copy has to be computed.
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

// requestCount returns approximately how many recent requests a share
// represents.
func (s *shareSketch) requestCount(share float64) float64 { return share * float64(s.total.Load()) }

// halve halves all counts. It may lose concurrent additions, which an estimate
// tolerates.
func (s *shareSketch) halve() {
	for r := range s.cells {
		for c := range s.cells[r] {
			cell := &s.cells[r][c]
			cell.Store(cell.Load() / 2)
		}
	}
	s.total.Store(sketchWindow / 2)
}
