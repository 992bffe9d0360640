package roller

import (
	"encoding/json"
	"fmt"

	"cyclamenhub.org/identifier"
)

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

// MarshalJSON writes the share.
func (l Level) MarshalJSON() ([]byte, error) { return json.Marshal(l.Share()) }

// UnmarshalJSON reads a share that belongs to a level.
func (l *Level) UnmarshalJSON(b []byte) error {
	var s identifier.Share
	if err := json.Unmarshal(b, &s); err != nil {
		return err
	}
	if *l = LevelOf(s); l.Share() != s {
		return fmt.Errorf("share %v belongs to no stage: run one version of cyclamend on all hosts", s)
	}
	return nil
}
