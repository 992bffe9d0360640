package planner

import (
	"context"
	"errors"

	"cyclamenhub.org/identifier"
)

// OfferKey names what the platform sells at one price.
type OfferKey struct {
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Class         identifier.MachineClass  `json:"class"`
	Reclaimable   bool                     `json:"reclaimable"`
}

// Offer is a kind of host that can be started.
type Offer struct {
	OfferKey
	// Price is per hour.
	Price float64 `json:"price"`
	// Slots is how many requests a host of it runs side by side.
	Slots int `json:"slots"`
}

// Check reports whether the offer can be planned with.
func (o *Offer) Check() error {
	if err := o.FailureDomain.Check(); err != nil {
		return err
	}
	if o.Price < 0 || o.Slots <= 0 {
		return errors.New("an offer has a negative price or no slots: write its price an hour and its slots")
	}
	return nil
}

// Need is what a service wants.
type Need struct {
	Service identifier.Service `json:"service"`
	// Version is loaded on hosts that have started; hosts that serve another
	// one are moved by its rollout.
	Version identifier.Version `json:"version"`
	// Slots is the forecast load with its headroom.
	Slots int `json:"slots"`
	// Floor is what must be left when all reclaimable hosts of any one domain
	// are reclaimed.
	Floor int `json:"floor"`
}

// Check reports whether the need can be planned for.
func (n *Need) Check() error {
	if n.Floor < 0 || n.Floor > n.Slots {
		return errors.New("the floor is not between 0 and the slots: lower it or raise the slots")
	}
	return errors.Join(n.Service.Check(), n.Version.Check())
}

// Order is something to be done. It is one of StartOrder, StopOrder and
// LoadOrder.
type Order interface{ isOrder() }

// StartOrder starts a host.
type StartOrder struct {
	OrderID identifier.OrderID
	Fencing identifier.FencingNumber
	Offer   Offer
}

// StopOrder stops a host gracefully.
type StopOrder struct {
	OrderID       identifier.OrderID
	Fencing       identifier.FencingNumber
	BackendServer identifier.BackendServer
}

// LoadOrder loads a version's weights onto a host.
type LoadOrder struct {
	OrderID       identifier.OrderID
	Fencing       identifier.FencingNumber
	BackendServer identifier.BackendServer
	Service       identifier.Service
	Version       identifier.Version
}

func (StartOrder) isOrder() {}
func (StopOrder) isOrder()  {}
func (LoadOrder) isOrder()  {}

// Event is an answer to an order or news of a host. It is one of Started,
// StartRefused, Loaded, LoadFailed, Reclaimed and Gone.
type Event interface{ isEvent() }

type (
	// Started tells that a host has started under a name.
	Started struct {
		OrderID       identifier.OrderID
		BackendServer identifier.BackendServer
	}
	// StartRefused tells that the platform has no such host now.
	StartRefused struct{ OrderID identifier.OrderID }
	// Loaded tells that a version's weights are on a host.
	Loaded struct{ OrderID identifier.OrderID }
	// LoadFailed tells that a load came to nothing; it is queued again.
	LoadFailed struct{ OrderID identifier.OrderID }
	// Reclaimed is the platform's notice for a host.
	Reclaimed struct{ BackendServer identifier.BackendServer }
	// Gone tells that a host is no longer there, stopped or lost.
	Gone struct{ BackendServer identifier.BackendServer }
)

func (Started) isEvent()      {}
func (StartRefused) isEvent() {}
func (Loaded) isEvent()       {}
func (LoadFailed) isEvent()   {}
func (Reclaimed) isEvent()    {}
func (Gone) isEvent()         {}

// ErrRefused is what a Platform returns when it has no such host now.
var ErrRefused = errors.New("the platform has no such host now: try another failure domain or class")

// Platform is the cloud API. Both calls are idempotent by order id.
type Platform interface {
	// Start returns the name of the host, or an error that wraps ErrRefused.
	Start(ctx context.Context, o StartOrder) (identifier.BackendServer, error)
	// Stop returns when the stop was accepted.
	Stop(ctx context.Context, o StopOrder) error
}

// PerformStart gives a start order to the platform and returns the answer as an
// event. With any other error than a refusal the event is nil: the outcome is
// not known, and the order is sent again.
func PerformStart(ctx context.Context, p Platform, o StartOrder) (Event, error) {
	server, err := p.Start(ctx, o)
	switch {
	case err == nil:
		return Started{OrderID: o.OrderID, BackendServer: server}, nil
	case errors.Is(err, ErrRefused):
		return StartRefused{OrderID: o.OrderID}, nil
	default:
		return nil, err
	}
}
