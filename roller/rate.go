package roller

import "time"

// rateWindow is the approximate length of the period over which a request rate
// is measured.
const rateWindow = 5 * time.Minute

// rateMeter measures the rate at which a counter increases. Its zero value is
// ready to use.
type rateMeter struct{ older, newer reading }

// reading is the value of a counter at a time.
type reading struct {
	at time.Time
	n  uint64
}

// record records a reading, at most one per rateWindow.
func (m *rateMeter) record(now time.Time, n uint64) {
	switch {
	case m.older.at.IsZero():
		m.older, m.newer = reading{now, n}, reading{now, n}
	case now.Sub(m.newer.at) >= rateWindow:
		m.older, m.newer = m.newer, reading{now, n}
	}
}

// rate returns the growth per second up to the given reading. It returns false
// if the readings do not allow a rate.
func (m *rateMeter) rate(now time.Time, n uint64) (float64, bool) {
	elapsed := now.Sub(m.older.at)
	if m.older.at.IsZero() || elapsed < minRateTime || n < m.older.n {
		return 0, false
	}
	return float64(n-m.older.n) / elapsed.Seconds(), true
}

// minRateTime is the shortest period over which a rate is measured.
const minRateTime = time.Minute
