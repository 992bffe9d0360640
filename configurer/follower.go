package configurer

import (
	"context"
	"sync"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// lapseInterval is the time between two looks for lapsed exceptions. An
// exception holds for at most that much longer than its end.
const lapseInterval = time.Second

// Follower keeps the effective configuration of a host current: it takes
// accepted revisions and notes when exceptions lapse. It is safe for concurrent
// use.
type Follower struct {
	clock   timer.Clock
	publish func(revision identifier.Revision, effective *Fleet)

	mu       sync.Mutex // guards what follows
	revision identifier.Revision
	fleet    *Fleet
	next     time.Time // when the next exception lapses, or zero
}

// NewFollower returns a follower that hands each effective configuration, its
// exceptions applied to the defaults, to publish. Calls of publish do not
// overlap.
func NewFollower(clock timer.Clock, publish func(identifier.Revision, *Fleet)) *Follower {
	return &Follower{clock: clock, publish: publish}
}

// Take puts an accepted document in force. It ignores a revision that is not
// newer than the one in force. On an error the one in force stays.
func (f *Follower) Take(revision identifier.Revision, document []byte) error {
	fleet, err := LoadFleet(document)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.revision {
		return nil
	}
	return f.put(revision, fleet)
}

// Run puts the defaults back in force as exceptions lapse, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(lapseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.lapse()
		}
	}
}

// lapse publishes again if an exception has lapsed.
func (f *Follower) lapse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.next.IsZero() || f.clock.Now().Before(f.next) {
		return
	}
	// A document in force has no fault in any of its states.
	_ = f.put(f.revision, f.fleet)
}

// put publishes the effective configuration of fleet. The caller holds mu.
func (f *Follower) put(revision identifier.Revision, fleet *Fleet) error {
	now := f.clock.Now()
	effective, err := fleet.Effective(now)
	if err != nil {
		return err
	}
	f.revision, f.fleet = revision, fleet
	f.next, _ = fleet.NextEnd(now)
	f.publish(revision, &Fleet{Defaults: *effective, Exceptions: fleet.Exceptions})
	return nil
}
