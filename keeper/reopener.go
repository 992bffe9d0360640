package keeper

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhub.org/timer"
)

// ReopenInterval is the time between two checks for a replica whose storage failed,
// which is then opened again.
const ReopenInterval = time.Second

// Reopener holds a replica and opens it again after its storage has failed: a disk
// that is full may have room later.
type Reopener struct {
	open    func() (*Keeper, error)
	log     *slog.Logger
	current atomic.Pointer[Keeper]

	mu     sync.Mutex // serializes Open, reopenFailed and Close; guards closed
	closed bool
}

// NewReopener returns a Reopener without a replica. Its open function opens the
// replica with an empty state machine and attaches it to its transport.
func NewReopener(open func() (*Keeper, error), log *slog.Logger) *Reopener {
	return &Reopener{open: open, log: log}
}

// Open opens the replica for the first time.
func (r *Reopener) Open() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, err := r.open()
	if err == nil {
		r.current.Store(k)
	}
	return err
}

// Load returns the replica that was opened last, or nil before the first one.
func (r *Reopener) Load() *Keeper { return r.current.Load() }

// Run opens the replica again whenever its storage has failed, until ctx ends.
func (r *Reopener) Run(ctx context.Context) {
	timer.Repeat(ctx, ReopenInterval, func() time.Duration {
		r.reopenFailed()
		return ReopenInterval
	})
}

// reopenFailed opens a replica that has failed again.
func (r *Reopener) reopenFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	failed := r.current.Load()
	failure := failed.Status().Failure
	if failure == nil || r.closed {
		return
	}
	_ = failed.Close() // Close returns the failure again.
	k, err := r.open()
	if err != nil {
		r.log.Warn("failed replica cannot be reopened", "failure", failure, "error", err)
		return
	}
	r.current.Store(k)
	r.log.Info("failed replica reopened", "failure", failure)
}

// ReadState calls read, which reads the state machine, after a linearizable read. It
// fails if the replica has failed by then, since the state machine may have been
// emptied to open it again.
func (r *Reopener) ReadState(ctx context.Context, read func()) error {
	k := r.current.Load()
	if err := k.Read(ctx); err != nil {
		return err
	}
	read()
	if k.Status().Failure != nil {
		return errNoRead()
	}
	return nil
}

// Close closes the replica, if any, for good.
func (r *Reopener) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if k := r.current.Load(); k != nil {
		return k.Close()
	}
	return nil
}
