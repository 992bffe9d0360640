package describer

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"cyclamenhub.org/identifier"
)

// Kind tells how often a call may run.
type Kind string

// The kinds of calls.
const (
	// Idempotent calls may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent calls run at most once.
	NonIdempotent Kind = "nonIdempotent"
	// Streaming calls answer with a series of events. They count as
	// non-idempotent unless their route is resumable.
	Streaming Kind = "streaming"
)

// Document is the routing document of a fleet.
type Document struct {
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Destination is a service with its weight in a split.
type Destination struct {
	Service identifier.Service
	Weight  float64
}

// Route says where the calls under one host and path prefix go.
type Route struct {
	Name identifier.Route
	// Host and Prefix place the route; the prefix begins and ends with a slash.
	Host, Prefix string
	Kind         Kind
	// Timeout is how long a call may be kept waiting in all.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream, that
	// counts as in time.
	Target time.Duration
	// EventGap is the longest pause between two events that counts as in time;
	// 0 means that nothing is said.
	EventGap time.Duration
	// Priority is the rank of its calls; 0 is the most urgent.
	Priority int
	// Split lists the services with their weights.
	Split []Destination
	// MaxAttempts is how many backend servers one call may be sent to.
	MaxAttempts int
	// Anonymous calls need no key.
	Anonymous bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	// Generates tells that its calls are generations of a model, whose prompts
	// share parts.
	Generates bool
}

// MayRepeat reports whether a call may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a set of backend servers.
type Service struct {
	Name identifier.Service
	// HealthPath answers whether a backend server is well.
	HealthPath string
	// MaxConnections bounds the connections of all hosts to one backend server.
	MaxConnections int
	// Engine tells that its backend servers are model engines; nil for others.
	Engine *Engine
	// Scaling tells that its backend servers can be ordered; nil for others.
	Scaling *Scaling
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs side by side.
	Slots int
	// Memory is how many tokens its running requests and cached parts share.
	Memory identifier.Tokens
}

// Scaling bounds what can be ordered of a service, in each failure domain.
type Scaling struct {
	Min, Max int
	// BootTime passes between an order and the first request.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable backend server as a part of
	// the full one.
	ReclaimablePrice float64
	// Prices is what a second of a backend server costs in each failure domain.
	Prices map[identifier.FailureDomain]float64
}

// Customer is an organisation that sends calls.
type Customer struct {
	Name identifier.Customer
	Keys []string
	// Priority goes before that of the route, where it is set.
	Priority *int
	// Rate and Burst bound what it may send over the whole fleet, in tokens
	// where CountsTokens is set and else in calls; a rate of 0 means no bound.
	Rate, Burst  float64
	CountsTokens bool
	// DefaultTokens is what a call counts that tells no tokens.
	DefaultTokens identifier.Tokens
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Check reports everything that is wrong with d.
func (d *Document) Check() error {
	services := make(map[identifier.Service]bool, len(d.Services))
	var errs []error
	for _, s := range d.Services {
		if s.Name == "" || services[s.Name] {
			errs = append(errs, fmt.Errorf("service %q is unnamed or listed twice: name each service once", s.Name))
		}
		services[s.Name] = true
	}
	places := make(map[string]bool, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		errs = append(errs, r.check(services))
		place := r.Host + " " + r.Prefix
		if places[place] {
			errs = append(errs, fmt.Errorf("two routes stand at host %q and prefix %q: keep one of them", r.Host, r.Prefix))
		}
		places[place] = true
	}
	return errors.Join(append(errs, checkCustomers(d.Customers))...)
}

// check reports what is wrong with one route.
func (r *Route) check(services map[identifier.Service]bool) error {
	var errs []error
	fault := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf("route %q: "+format, append([]any{r.Name}, args...)...))
		}
	}
	fault(r.Host != "", "the host is missing: name one")
	fault(strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), "the prefix %q does not begin and end with a slash: add it", r.Prefix)
	fault(r.Kind == Idempotent || r.Kind == NonIdempotent || r.Kind == Streaming, "the kind %q is unknown: name a known one", r.Kind)
	fault(r.Timeout > 0, "the timeout is not above 0: give one")
	fault(r.MaxAttempts >= 0, "the number of attempts is negative: give 1 or more")
	var sum float64
	for _, s := range r.Split {
		fault(services[s.Service], "the service %q is unknown: name one that is listed", s.Service)
		fault(s.Weight >= 0, "the weight %v is negative: give 0 or more", s.Weight)
		sum += s.Weight
	}
	fault(sum > 0, "the weights add up to 0: give at least one service a weight")
	return errors.Join(errs...)
}

// checkCustomers reports unnamed customers and keys that two of them hold.
func checkCustomers(customers []Customer) error {
	var errs []error
	names := make(map[identifier.Customer]bool, len(customers))
	holders := make(map[string]identifier.Customer)
	for _, c := range customers {
		if c.Name == "" || names[c.Name] {
			errs = append(errs, fmt.Errorf("customer %q is unnamed or listed twice: name each customer once", c.Name))
		}
		names[c.Name] = true
		for _, k := range c.Keys {
			if other, ok := holders[k]; ok && other != c.Name {
				errs = append(errs, fmt.Errorf("customers %q and %q hold one key: give each its own", other, c.Name))
			}
			holders[k] = c.Name
		}
	}
	return errors.Join(errs...)
}
