package describer

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"cyclamenhub.org/identifier"
)

// Kind is the kind of a call. It determines whether the call may run more than
// once.
type Kind string

// The kinds of calls.
const (
	// Idempotent calls may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent calls run at most once.
	NonIdempotent Kind = "nonIdempotent"
	// Streaming calls return a stream of events. They count as non-idempotent
	// unless their route is resumable.
	Streaming Kind = "streaming"
)

// Document is the routing document of a fleet.
type Document struct {
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Destination is a service and its weight in a split.
type Destination struct {
	Service identifier.Service
	Weight  float64
}

// Route assigns the calls with a host and path prefix to services.
type Route struct {
	Name identifier.Route
	// Host and Prefix select the calls of the route. The prefix begins and ends
	// with a slash.
	Host, Prefix string
	Kind         Kind
	// Timeout bounds the total time of a call.
	Timeout time.Duration
	// Target is the time to the response, or to the first event of a stream,
	// within which a call counts as on time.
	Target time.Duration
	// EventGap is the longest pause between two events with which a stream
	// counts as on time; 0 means unspecified.
	EventGap time.Duration
	// Priority is the rank of the route's calls; 0 is the most urgent.
	Priority int
	// Split lists the services of the route with their weights.
	Split []Destination
	// MaxAttempts bounds the number of backend servers that may run one call.
	MaxAttempts int
	// Anonymous is set if calls need no key.
	Anonymous bool
	// Resumable is set if a stream that breaks off may resume on another
	// backend server.
	Resumable bool
	// Homes are the regions whose backend servers may get the calls; none means
	// all.
	Homes []identifier.Region
	// Generates is set if the calls are generations of a model, whose prompts
	// share parts.
	Generates bool
}

// MayRepeat reports whether a call may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// Service is a group of backend servers that serve the same calls.
type Service struct {
	Name identifier.Service
	// HealthPath is the path at which a backend server reports its health.
	HealthPath string
	// MaxConnections bounds the connections of all hosts together to one
	// backend server.
	MaxConnections int
	// Engine is set if the backend servers are model engines, and nil
	// otherwise.
	Engine *Engine
	// Scaling is set if backend servers can be ordered, and nil otherwise.
	Scaling *Scaling
	// WarmUp is set if a backend server takes fewer requests for some time after
	// its start, and nil otherwise.
	WarmUp *WarmUp
}

// WarmUp describes how a backend server of a service warms up.
type WarmUp struct {
	// Time is how long a server is cold after its start.
	Time time.Duration
	// PerSecond is the rate of requests that a cold server tolerates.
	PerSecond identifier.RequestRate
}

// check records the faults of w.
func (w *WarmUp) check(fs *faults, s identifier.Service) {
	if w.Time < 0 || w.PerSecond < 0 {
		fs.add("service %.100q: the time %v or the rate %v of cold servers is negative: give 0 or more", s, w.Time, w.PerSecond)
	}
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is how many requests one engine runs concurrently.
	Slots int
	// Memory is the number of tokens that the running requests and the prefix
	// cache of one engine share.
	Memory identifier.Tokens
	// EventTokens is the number of tokens in an event of a stream, 0 if it is not
	// known.
	EventTokens identifier.Tokens
}

// Scaling bounds the number of backend servers of a service in each failure
// domain.
type Scaling struct {
	Min, Max int
	// BootTime is the time from an order to the first request.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable backend server as a
	// fraction of the full price.
	ReclaimablePrice float64
	// Prices is the price of a backend server per second in each failure
	// domain.
	Prices map[identifier.FailureDomain]float64
}

// Customer is an organisation that sends calls.
type Customer struct {
	Name identifier.Customer
	Keys []string
	// Homes are the regions whose backend servers may get the customer's calls;
	// none means all.
	Homes []identifier.Region
	// Priority, if not nil, overrides the priority of the route.
	Priority *int
	// Rate, per second, and Burst bound the customer's calls to the whole
	// fleet. They are in tokens if CountsTokens is set, and in calls otherwise.
	// A rate of 0 means no bound.
	Rate, Burst  float64
	CountsTokens bool
	// DefaultTokens is the number of tokens charged for a call that states
	// none.
	DefaultTokens identifier.Tokens
}

// Limits bounds what a caller may send, in bytes and time.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// maxFaults bounds the faults that a check lists.
const maxFaults = 20

// faults are the faults that a check has found, without those beyond maxFaults.
type faults struct {
	errs []error
	// more is the number of faults that are not listed.
	more int
}

// add records a fault.
func (fs *faults) add(format string, args ...any) {
	if len(fs.errs) == maxFaults {
		fs.more++
		return
	}
	fs.errs = append(fs.errs, fmt.Errorf(format, args...))
}

// err returns an error that lists the faults, or nil if there are none.
func (fs *faults) err() error {
	if fs.more > 0 {
		return errors.Join(append(fs.errs, fmt.Errorf("and %d more faults: correct these first", fs.more))...)
	}
	return errors.Join(fs.errs...)
}

// Check returns an error that lists the faults of d, or nil if there are none.
func (d *Document) Check() error {
	services := make(map[identifier.Service]bool, len(d.Services))
	var fs faults
	for _, s := range d.Services {
		if s.Name == "" || services[s.Name] {
			fs.add("service %.100q is unnamed or listed twice: name each service once", s.Name)
		}
		services[s.Name] = true
		if s.WarmUp != nil {
			s.WarmUp.check(&fs, s.Name)
		}
	}
	places := make(map[string]bool, len(d.Routes))
	for i := range d.Routes {
		r := &d.Routes[i]
		r.check(&fs, services)
		place := r.Host + " " + r.Prefix
		if places[place] {
			fs.add("two routes stand at host %.100q and prefix %.100q: keep one of them", r.Host, r.Prefix)
		}
		places[place] = true
	}
	checkCustomers(&fs, d.Customers)
	return fs.err()
}

// check records the faults of r. The map contains the known services.
func (r *Route) check(fs *faults, services map[identifier.Service]bool) {
	fault := func(ok bool, format string, args ...any) {
		if !ok {
			fs.add("route %.100q: "+format, append([]any{r.Name}, args...)...)
		}
	}
	fault(r.Host != "", "the host is missing: name one")
	fault(strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/"), "the prefix %.100q does not begin and end with a slash: add it", r.Prefix)
	fault(r.Kind == Idempotent || r.Kind == NonIdempotent || r.Kind == Streaming, "the kind %.100q is unknown: name a known one", r.Kind)
	fault(r.Timeout > 0, "the timeout is not above 0: give one")
	fault(r.MaxAttempts >= 0, "the number of attempts is negative: give 1 or more")
	var sum float64
	for _, s := range r.Split {
		fault(services[s.Service], "the service %.100q is unknown: name one that is listed", s.Service)
		fault(s.Weight >= 0, "the weight %v is negative: give 0 or more", s.Weight)
		sum += s.Weight
	}
	fault(sum > 0, "the weights add up to 0: give at least one service a weight")
}

// checkCustomers records customers without a name, names that occur twice, and
// keys that belong to two customers.
func checkCustomers(fs *faults, customers []Customer) {
	names := make(map[identifier.Customer]bool, len(customers))
	holders := make(map[string]identifier.Customer)
	for _, c := range customers {
		if c.Name == "" || names[c.Name] {
			fs.add("customer %.100q is unnamed or listed twice: name each customer once", c.Name)
		}
		names[c.Name] = true
		for _, k := range c.Keys {
			if other, ok := holders[k]; ok && other != c.Name {
				fs.add("customers %.100q and %.100q hold one key: give each its own", other, c.Name)
			}
			holders[k] = c.Name
		}
	}
}
