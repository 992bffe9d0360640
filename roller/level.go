package roller

import "cyclamenhub.org/identifier"

// Level is an index into the fixed list of shares that a candidate can have.
// Evidence is kept per level, since the test needs the share at which each
// request was drawn.
type Level uint8

// The levels that code names.
const (
	// NoLevel draws no request for the candidate.
	NoLevel Level = 0
	// TopLevel draws every request for the candidate.
	TopLevel Level = numLevels - 1

	numLevels = 13
)

// levelShares lists the share of each level, in rising order.
var levelShares = [numLevels]identifier.Share{
	0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1,
}

// Share returns the share of the requests that l draws for the candidate.
func (l Level) Share() identifier.Share {
	if l > TopLevel {
		return 0
	}
	return levelShares[l]
}

// LevelOf returns the highest level whose share is at most s.
func LevelOf(s identifier.Share) Level {
	l := NoLevel
	for l < TopLevel && levelShares[l+1] <= s {
		l++
	}
	return l
}
