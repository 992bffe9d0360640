package forwarder

import (
	"sync"
	"time"
)

const (
	// maxBeatGap is the longest time between two beats of a host that runs, a few times
	// reachInterval.
	maxBeatGap = 4 * reachInterval
	// stillMemory is how long after it has stood still a host may read what came meanwhile.
	stillMemory = time.Second
)

// pulse tells from beats that come at intervals of reachInterval whether this host stood still, as
// while it is stopped or starved of processor time. What it reads then may have waited. Without
// beats, nothing is known. It is safe for concurrent use.
type pulse struct {
	mu sync.Mutex
	// beatAt is when the last beat came, and stillUntil the end of the last time without one for
	// longer than maxBeatGap.
	beatAt, stillUntil time.Time
}

// beat records a beat.
func (p *pulse) beat(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isStill(now) {
		p.stillUntil = now
	}
	p.beatAt = now
}

// isStill reports whether a beat is overdue. The caller holds mu.
func (p *pulse) isStill(now time.Time) bool {
	return !p.beatAt.IsZero() && now.Sub(p.beatAt) > maxBeatGap
}

// stoodStillAround reports whether what was read at a time may have waited for this host.
func (p *pulse) stoodStillAround(at, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isStill(now) || !p.stillUntil.IsZero() && at.Sub(p.stillUntil) < stillMemory
}
