package planner

import (
	"context"
	"errors"

	"cyclamenhub.org/identifier"
)

// OfferKey identifies an offer of the platform.
type OfferKey struct {
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Class         identifier.MachineClass  `json:"class"`
	Reclaimable   bool                     `json:"reclaimable"`
}

// Offer is a kind of host that the platform can start.
type Offer struct {
	OfferKey
	// Price is the price of a host per hour.
	Price float64 `json:"price"`
	// Slots is the number of requests that such a host runs concurrently.
	Slots int `json:"slots"`
}

// Check returns an error if the offer is not valid for planning.
func (o *Offer) Check() error {
	if err := o.FailureDomain.Check(); err != nil {
		return err
	}
	if o.Price < 0 || o.Slots <= 0 {
		return errors.New("an offer has a negative price or no slots: set its price per hour and its slots")
	}
	return nil
}

// Need is the capacity that a service needs.
type Need struct {
	Service identifier.Service `json:"service"`
	// Version is loaded on hosts that have started and are empty. The rollout
	// of a version moves the hosts that serve another one.
	Version identifier.Version `json:"version"`
	// Slots is the forecast load plus headroom.
	Slots int `json:"slots"`
	// Floor is the number of slots that must remain when all reclaimable hosts
	// of any one failure domain are reclaimed.
	Floor int `json:"floor"`
}

// Check returns an error if the need is not valid for planning.
func (n *Need) Check() error {
	if n.Floor < 0 || n.Floor > n.Slots {
		return errors.New("the floor is negative or above the slots: set a floor between 0 and the slots")
	}
	return errors.Join(n.Service.Check(), n.Version.Check())
}

// Order is an instruction to the platform or to a backend server. It is one of
// StartOrder, StopOrder and LoadOrder.
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

// LoadOrder loads the weights of a version onto a host.
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

// Event is an answer to an order or a change of a host's state. It is one of
// Started, StartRefused, Loaded, LoadFailed, Reclaimed and Gone.
type Event interface{ isEvent() }

type (
	// Started reports that a host has started, with its name.
	Started struct {
		OrderID       identifier.OrderID
		BackendServer identifier.BackendServer
	}
	// StartRefused reports that the platform has no such host available.
	StartRefused struct{ OrderID identifier.OrderID }
	// Loaded reports that the weights of a version are on a host.
	Loaded struct{ OrderID identifier.OrderID }
	// LoadFailed reports that a load has failed; it is queued again.
	LoadFailed struct{ OrderID identifier.OrderID }
	// Reclaimed reports the platform's notice that it will reclaim a host.
	Reclaimed struct{ BackendServer identifier.BackendServer }
	// Gone reports that a host no longer exists because it was stopped or lost.
	Gone struct{ BackendServer identifier.BackendServer }
)

func (Started) isEvent()      {}
func (StartRefused) isEvent() {}
func (Loaded) isEvent()       {}
func (LoadFailed) isEvent()   {}
func (Reclaimed) isEvent()    {}
func (Gone) isEvent()         {}

// ErrRefused is the error of a Platform that has no such host available.
var ErrRefused = errors.New("the platform has no such host available: try another failure domain or class")

// Platform is the API of the cloud provider. Both calls are idempotent by order
// id.
type Platform interface {
	// Start starts a host and returns its name, or an error that wraps
	// ErrRefused.
	Start(ctx context.Context, o StartOrder) (identifier.BackendServer, error)
	// Stop returns nil once the platform has accepted the stop.
	Stop(ctx context.Context, o StopOrder) error
}

// PerformStart sends a start order to the platform and returns the answer as an
// event. On an error other than ErrRefused it returns that error and no event:
// the outcome is unknown, and the Planner sends the order again.
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
