package keeper

import (
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
)

// Status is what a keeper tells of its replica.
type Status struct {
	replicator.Status
	// Failure is why the replica stepped aside, or nil.
	Failure error
	// LeaseUntil is when this replica's lease ends; zero without one.
	LeaseUntil time.Time
}

// Status returns the present status.
func (k *Keeper) Status() Status { return *k.status.Load() }

// Lease is this replica's right to give orders.
type Lease struct {
	keeper *Keeper
	term   identifier.Term
}

// Lease returns the leader's lease if this replica holds it, else a
// LeaseError.
func (k *Keeper) Lease() (Lease, error) {
	l := Lease{k, k.Status().Term}
	return l, l.Check()
}

// Check returns a LeaseError unless the lease holds now, by the passed clock.
// It is called at the moment an order is sent.
func (l Lease) Check() error {
	s := l.keeper.Status()
	if s.Term != l.term || !l.keeper.opts.Clock.Now().Before(s.LeaseUntil) {
		return &LeaseError{}
	}
	return nil
}

// Until returns when the lease ends unless it is renewed. An order to a backend
// server that ignores fencing numbers ends before that.
func (l Lease) Until() time.Time { return l.keeper.Status().LeaseUntil }

// Fencing returns the number that orders under this lease carry. It rises with
// every change of leader.
func (l Lease) Fencing() identifier.FencingNumber { return identifier.FencingNumber(l.term) }
