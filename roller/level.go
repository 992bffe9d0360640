package roller

import (
	"encoding/json"
	"fmt"

	"cyclamenhub.org/identifier"
)

// Level is an index into the fixed list of shares that a candidate can have.
// Evidence is kept per level, since the test needs the share at which each
// request was assigned.
type Level uint8

// The levels with names.
const (
	// NoLevel assigns no request to the candidate.
	NoLevel Level = 0
	// TopLevel assigns every request to the candidate.
	TopLevel Level = numLevels - 1

	numLevels = 13
)

// levelShares holds the share of each level, in increasing order.
var levelShares = [numLevels]identifier.Share{
	0, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1,
}

// Share returns the share of the requests that go to the candidate at level l.
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

// MarshalJSON encodes the level as its share.
func (l Level) MarshalJSON() ([]byte, error) { return json.Marshal(l.Share()) }

// UnmarshalJSON decodes a share. It returns an error if no level has that
// share.
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
