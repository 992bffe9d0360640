package server

import (
	"context"
	"fmt"
	"time"
)

const (
	// defaultReadinessLag is how long the balancer may take to see that this
	// host is no longer ready.
	defaultReadinessLag = 2 * time.Second
	// pollInterval is how often Stop looks whether requests are left.
	pollInterval = 20 * time.Millisecond
)

// RefuseNew refuses every request that comes from now on, as not run.
func (s *Server) RefuseNew() {
	s.leaving.Store(true)
	s.stopping.Store(true)
}

// Stop ends the server gracefully. Readiness goes first; requests that come
// before the balancer saw it are still taken; then new ones are refused as not
// run, and Stop returns once every accepted request has its answer. Where ctx
// ends first, its error is returned and requests may be left.
func (s *Server) Stop(ctx context.Context) error {
	s.SetReady(false)
	s.leaving.Store(true)
	if !sleep(ctx, s.opt.ReadinessLag) {
		return ctx.Err()
	}
	s.RefuseNew()
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("stopping: %w", err)
	}
	for s.opt.Dispatcher.Running() > 0 {
		if !sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return nil
}

// sleep waits for d and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
