package router

import "sync/atomic"

// Random generates random numbers. It must be safe for concurrent use.
type Random interface {
	Uint64() uint64
}

// splitMixIncrement is the increment of SplitMix64's counter.
const splitMixIncrement = 0x9e3779b97f4a7c15

// Seeded is a deterministic Random: the seed determines its numbers. The zero
// value is ready to use.
type Seeded struct{ state atomic.Uint64 }

// NewSeeded returns a Seeded with the given seed.
func NewSeeded(seed uint64) *Seeded {
	var s Seeded
	s.state.Store(seed)
	return &s
}

// Uint64 returns the next number.
func (s *Seeded) Uint64() uint64 { return mix(s.state.Add(splitMixIncrement)) }

// randomIndex returns a random number from 0 to n-1 by multiplication (Lemire,
// "Fast Random Integer Generation in an Interval", 2019); the bias is below
// n/2⁶⁴.
func randomIndex(r Random, n int) int {
	return int((r.Uint64() >> 32) * uint64(n) >> 32)
}
