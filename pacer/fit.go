package pacer

import (
	"math"
	"time"
)

const (
	// serviceHalfLife is the half-life of the measurements of a service.
	serviceHalfLife = 15 * time.Second
	// minFitSamples is the number of measurements from which on a fit counts.
	minFitSamples = 30
	// minScale and maxScale bound the factors of a service.
	minScale, maxScale = 0.2, 5.0
	// maxFixed bounds the fixed part of the time to the first token.
	maxFixed = time.Second
)

// Sums are the sums of measurements of the time to the first token of a service,
// in milliseconds: X is what the constants give for the prompt, Y what it took.
type Sums struct{ N, X, Y, XX, XY float64 }

// add adds one measurement.
func (s *Sums) add(x, y float64) {
	s.N++
	s.X += x
	s.Y += y
	s.XX += x * x
	s.XY += x * y
}

// plus returns s plus o.
func (s Sums) plus(o Sums) Sums {
	return Sums{s.N + o.N, s.X + o.X, s.Y + o.Y, s.XX + o.XX, s.XY + o.XY}
}

// times returns s multiplied by f.
func (s Sums) times(f float64) Sums {
	return Sums{s.N * f, s.X * f, s.Y * f, s.XX * f, s.XY * f}
}

// isFinite reports whether the sums can come from measurements.
func (s Sums) isFinite() bool {
	for _, v := range []float64{s.N, s.X, s.Y, s.XX, s.XY} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return false
		}
	}
	return true
}

// Service is the speed of the engines of a service. Its zero value means that
// nothing is known.
type Service struct {
	// Fixed is the part of the time to the first token that does not depend on
	// the prompt.
	Fixed time.Duration
	// Prefill and Step are the factors of the time for a prompt and of a decoding
	// step, compared with the constants; 0 means not known.
	Prefill, Step float64
	// Work and LongWork are the numbers of average servers that would be busy all the
	// time with the prompts of all hosts, and with the long ones.
	Work, LongWork float64
}

// PrefillFactor returns Prefill, or 1 if it is not known.
func (s Service) PrefillFactor() float64 { return orOne(s.Prefill) }

// StepFactor returns Step, or 1 if it is not known.
func (s Service) StepFactor() float64 { return orOne(s.Step) }

// orOne returns f, or 1 if f is 0.
func orOne(f float64) float64 {
	if f == 0 {
		return 1
	}
	return f
}

// fit returns the fixed time and the factor of the line through the measurements.
func (s Sums) fit() (fixed time.Duration, factor float64) {
	if s.N < minFitSamples || s.X == 0 {
		return 0, 0
	}
	spread := s.N*s.XX - s.X*s.X
	factor = s.Y / s.X
	if spread > 1e-9*s.N*s.XX {
		factor = (s.N*s.XY - s.X*s.Y) / spread
	}
	factor = min(max(factor, minScale), maxScale)
	ms := min(max((s.Y-factor*s.X)/s.N, 0), float64(maxFixed.Milliseconds()))
	return time.Duration(ms * float64(time.Millisecond)), factor
}

// decayed returns the part of a measurement of the given age that still counts.
func decayed(age, halfLife time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}
