package server

import (
	"context"
	"fmt"
	"time"

	"cyclamenhub.org/timer"
)

const (
	// defaultReadinessLag is the time for the load balancer to notice that this
	// host is no longer ready.
	defaultReadinessLag = 2 * time.Second
	// pollInterval is how often Stop checks for in-flight requests.
	pollInterval = 20 * time.Millisecond
)

// RefuseNew makes the server refuse all new requests as not run.
func (s *Server) RefuseNew() {
	s.closeConnections.Store(true)
	s.stopping.Store(true)
}

// Stop stops the server gracefully. It reports not ready, accepts requests for
// Options.ReadinessLag while the load balancer notices, then refuses new
// requests as not run, and returns when every accepted request has its answer.
// If ctx ends first, Stop returns its error and requests may still be in
// flight.
func (s *Server) Stop(ctx context.Context) error {
	s.SetReady(false)
	s.closeConnections.Store(true)
	if !timer.Sleep(ctx, s.opt.ReadinessLag) {
		return ctx.Err()
	}
	s.RefuseNew()
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("stopping: %w", err)
	}
	for s.opt.Dispatcher.Running() > 0 {
		if !timer.Sleep(ctx, pollInterval) {
			return ctx.Err()
		}
	}
	return nil
}
