package roller

import "time"

// rateWindow is about how far back a rate of requests looks.
const rateWindow = 5 * time.Minute

// rateMeter tells the rate at which a counter grows. Its zero value is ready to
// use.
type rateMeter struct{ older, newer reading }

// reading is a counter at a time.
type reading struct {
	at time.Time
	n  uint64
}

// note takes a reading.
func (m *rateMeter) note(now time.Time, n uint64) {
	switch {
	case m.older.at.IsZero():
		m.older, m.newer = reading{now, n}, reading{now, n}
	case now.Sub(m.newer.at) >= rateWindow:
		m.older, m.newer = m.newer, reading{now, n}
	}
}

// rate returns the growth a second up to a reading, and whether it is known.
func (m *rateMeter) rate(now time.Time, n uint64) (float64, bool) {
	passed := now.Sub(m.older.at)
	if m.older.at.IsZero() || passed < minRateTime || n < m.older.n {
		return 0, false
	}
	return float64(n-m.older.n) / passed.Seconds(), true
}

// minRateTime is the shortest time that tells a rate.
const minRateTime = time.Minute
