package keeper

import (
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
)

// Status describes a keeper's replica.
type Status struct {
	replicator.Status
	// Failure is the error after which the replica halted, or nil.
	Failure error
	// LeaseUntil is when this replica's lease ends. It is zero if there is no
	// lease.
	LeaseUntil time.Time
}

// Status returns the current status.
func (k *Keeper) Status() Status { return *k.status.Load() }

// Lease allows this replica to give orders for as long as it holds.
type Lease struct {
	keeper *Keeper
	term   identifier.Term
}

// Lease returns the leader's lease if this replica holds it, and a LeaseError
// otherwise.
func (k *Keeper) Lease() (Lease, error) {
	l := Lease{k, k.Status().Term}
	return l, l.Check()
}

// Check returns a LeaseError unless the lease is valid now, by the configured
// clock. Callers check immediately before they send an order.
func (l Lease) Check() error {
	s := l.keeper.Status()
	if s.Term != l.term || !l.keeper.opts.Clock.Now().Before(s.LeaseUntil) {
		return &LeaseError{}
	}
	return nil
}

// Until returns when the lease ends unless it is renewed. An order to a backend
// server that ignores fencing numbers must end before that.
func (l Lease) Until() time.Time { return l.keeper.Status().LeaseUntil }

// Fencing returns the fencing number of orders under this lease. It rises with
// every change of leader.
func (l Lease) Fencing() identifier.FencingNumber { return identifier.FencingNumber(l.term) }
