package configurer

import (
	"context"
	"sync"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// expiryCheckInterval is the time between two checks for expired exceptions. An
// exception stays applied for at most this long after its end.
const expiryCheckInterval = time.Second

// Follower keeps the effective configuration of a host current: it publishes a
// new one when it receives an accepted revision and when an exception expires.
// It is safe for concurrent use.
type Follower struct {
	clock   timer.Clock
	publish func(revision identifier.Revision, effective *Fleet)

	mu         sync.Mutex // guards the fields below
	revision   identifier.Revision
	fleet      *Fleet
	nextExpiry time.Time // when the next exception expires; zero if none does
}

// NewFollower returns a follower that calls publish with each effective
// configuration, which has the exceptions applied to the defaults. Calls of
// publish do not overlap.
func NewFollower(clock timer.Clock, publish func(identifier.Revision, *Fleet)) *Follower {
	return &Follower{clock: clock, publish: publish}
}

// Apply publishes an accepted document. It ignores a revision that is not newer
// than the current one. On an error the current one stays published.
func (f *Follower) Apply(revision identifier.Revision, document []byte) error {
	fleet, err := LoadFleet(document)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.revision {
		return nil
	}
	return f.publishEffective(revision, fleet)
}

// Run publishes the configuration again each time an exception expires, until
// ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(expiryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.publishAfterExpiry()
		}
	}
}

// publishAfterExpiry publishes the configuration again if an exception has
// expired since the last call of publish.
func (f *Follower) publishAfterExpiry() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.nextExpiry.IsZero() || f.clock.Now().Before(f.nextExpiry) {
		return
	}
	// The error is always nil: a document is only accepted if the defaults have
	// no fault after each expiry.
	_ = f.publishEffective(f.revision, f.fleet)
}

// publishEffective publishes the effective configuration of fleet and records
// fleet as the current revision. The caller holds mu.
func (f *Follower) publishEffective(revision identifier.Revision, fleet *Fleet) error {
	now := f.clock.Now()
	effective, err := fleet.Effective(now)
	if err != nil {
		return err
	}
	f.revision, f.fleet = revision, fleet
	f.nextExpiry, _ = fleet.NextEnd(now)
	f.publish(revision, &Fleet{Defaults: *effective, Exceptions: fleet.Exceptions})
	return nil
}
