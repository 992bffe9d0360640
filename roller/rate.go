package roller

import "time"

// The approximate lengths of the periods over which a request rate is measured:
// for rollouts in stages and for those with a cutover.
const (
	stagedRateWindow  = 5 * time.Minute
	cutoverRateWindow = 10 * time.Second
)

// rateMeter measures the rate at which a counter increases, over one to two
// windows.
type rateMeter struct {
	window       time.Duration
	older, newer reading
}

// reading is the value of a counter at a time.
type reading struct {
	at time.Time
	n  uint64
}

// record records a reading, at most one per window.
func (m *rateMeter) record(now time.Time, n uint64) {
	switch {
	case m.older.at.IsZero():
		m.older, m.newer = reading{now, n}, reading{now, n}
	case now.Sub(m.newer.at) >= m.window:
		m.older, m.newer = m.newer, reading{now, n}
	}
}

// rate returns the growth per second up to the given reading. It returns false
// if the readings do not allow a rate.
func (m *rateMeter) rate(now time.Time, n uint64) (float64, bool) {
	elapsed := now.Sub(m.older.at)
	if m.older.at.IsZero() || elapsed < m.window/minRateDivisor || n < m.older.n {
		return 0, false
	}
	return float64(n-m.older.n) / elapsed.Seconds(), true
}

// minRateDivisor divides the window to get the shortest period over which a rate
// is measured.
const minRateDivisor = 5
