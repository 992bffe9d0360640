package router

import "sync/atomic"

// Random yields random numbers. It must be safe for concurrent use.
type Random interface {
	Uint64() uint64
}

// weyl is the increment of SplitMix64's counter.
const weyl = 0x9e3779b97f4a7c15

// Seeded is a Random whose numbers follow from its seed. Its zero value is
// ready to use.
type Seeded struct{ state atomic.Uint64 }

// NewSeeded returns a Seeded that starts from seed.
func NewSeeded(seed uint64) *Seeded {
	var s Seeded
	s.state.Store(seed)
	return &s
}

// Uint64 returns the next number.
func (s *Seeded) Uint64() uint64 { return mix(s.state.Add(weyl)) }

// below returns a number from 0 to n-1 by multiplication (Lemire, "Fast Random
// Integer Generation in an Interval", 2019); the bias is below n/2⁶⁴.
func below(r Random, n int) int {
	return int((r.Uint64() >> 32) * uint64(n) >> 32)
}
