package forwarder

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/accountant"
	"cyclamenhub.org/connector"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/matcher"
	"cyclamenhub.org/placer"
	"cyclamenhub.org/roller"
	"cyclamenhub.org/sharer"
	"cyclamenhub.org/timer"
)

// defaultMaxBodyBytes bounds a caller's body where the document says nothing.
const defaultMaxBodyBytes = 4 << 20

// Options configure a Forwarder.
type Options struct {
	Codec   describer.Codec
	Pool    *connector.Pool
	Placer  *placer.Placer
	Limiter *sharer.Limiter
	Meter   *accountant.Meter
	// Versions draws the versions of services; nil means the most common one.
	Versions Versions
	Retries  RetryBudget
	// Hosts is how many entry hosts there are thought to be until SetHosts.
	Hosts int
	// Tolerance is how far customers may exceed their rates.
	Tolerance describer.Tolerance
	// Current reports whether this host surely knows the newest withdrawal of
	// keys. Where it does not, calls with keys are refused.
	Current func() bool
	// FirstWord is closed once Current has been true for the first time; nil says
	// that it is from the start.
	FirstWord <-chan struct{}
	Clock     timer.Clock
	// TimeOfDay is the clock by which use is counted; nil means the system's.
	TimeOfDay timer.Clock
	Log       *slog.Logger
}

// Forwarder serves callers. It is an http.Handler.
type Forwarder struct {
	opts    Options
	began   time.Time
	table   atomic.Pointer[matcher.Table]
	fleet   atomic.Pointer[fleet]
	retries *budgets
	// active counts the calls at work.
	active atomic.Int64
}

// New returns a Forwarder that refuses every call until it has a table and a
// listing.
func New(opts Options) *Forwarder {
	if opts.Clock == nil {
		opts.Clock = timer.System{}
	}
	if opts.TimeOfDay == nil {
		opts.TimeOfDay = timer.System{}
	}
	if opts.Log == nil {
		opts.Log = slog.Default()
	}
	if opts.Current == nil {
		opts.Current = func() bool { return true }
	}
	return &Forwarder{opts: opts, began: opts.Clock.Now(), retries: newBudgets(opts.Retries, opts.Hosts)}
}

// SetTable puts a routing table in force.
func (f *Forwarder) SetTable(t *matcher.Table) {
	f.opts.Limiter.Configure(RatesOf(t.Document(), f.opts.Tolerance))
	f.table.Store(t)
	f.publish()
}

// publish tells the placer which servers there are.
func (f *Forwarder) publish() {
	if fl := f.fleet.Load(); fl != nil {
		f.opts.Placer.Publish(fl.candidates(f.table.Load()))
	}
}

// RatesOf returns the rates of a document's customers within a tolerance.
func RatesOf(d *describer.Document, t describer.Tolerance) map[identifier.Customer]sharer.Rate {
	rates := make(map[identifier.Customer]sharer.Rate, len(d.Customers))
	for _, c := range d.Customers {
		rates[c.Name] = sharer.Rate{PerSecond: c.Rate, Burst: c.Burst}.With(t)
	}
	return rates
}

// Table returns the routing table in force, or nil.
func (f *Forwarder) Table() *matcher.Table { return f.table.Load() }

// SetListing puts a listing of backend servers in force.
func (f *Forwarder) SetListing(l *discoverer.Listing) {
	f.fleet.Store(newFleet(l))
	f.publish()
}

// SetHosts tells how many entry hosts there are.
func (f *Forwarder) SetHosts(n int) { f.retries.setHosts(n) }

// Active returns how many calls are at work.
func (f *Forwarder) Active() int64 { return f.active.Load() }

// ServeHTTP answers one call.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	x := &exchange{f: f, w: w, r: r, start: f.opts.Clock.Now()}
	x.serve()
}

// exchange is one call on its way.
type exchange struct {
	f        *Forwarder
	w        http.ResponseWriter
	r        *http.Request
	ctx      context.Context
	call     *call
	table    *matcher.Table
	route    *describer.Route
	customer *describer.Customer
	service  identifier.Service
	start    time.Time
	deadline time.Time
	cost     float64

	tried []identifier.BackendServer
	// sends counts the attempts, unsent those of them that reached no backend
	// server, and runs those that may have run.
	sends, unsent, runs int
	// held is a backend server's failure, passed on if nothing better comes.
	held *answer
	// begun tells that a part of the answer has been delivered.
	begun     bool
	counted   bool // in the use of its customer
	lastEvent string
	status    int
	why       string
	server    identifier.BackendServer
	// ticket is that of the version of the first attempt, as long as drawn is
	// set, and firstAfter the time to its first byte of content.
	ticket     roller.Ticket
	drawn      bool
	firstAfter time.Duration
}

// serve answers the call.
func (x *exchange) serve() {
	defer x.log()
	x.awaitFirstWord()
	if refusal := x.accept(); refusal != nil {
		x.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	x.f.retries.earn(x.service)
	x.run()
}

// firstWordWait is how long after its start a host holds calls until it has its
// first word: the keepers, which may have started with it, elect a leader in
// half a second to a second.
const firstWordWait = time.Second

// awaitFirstWord holds a call to a host that has just started, within the time
// in which its first word is to be expected. Load pattern: all machines are back
// from a loss of power, and callers ask at once; those that are refused come back
// too late for their aim.
func (x *exchange) awaitFirstWord() {
	left := firstWordWait - x.start.Sub(x.f.began)
	if x.f.opts.FirstWord == nil || left <= 0 {
		return
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case <-x.f.opts.FirstWord:
	case <-t.C:
	case <-x.r.Context().Done():
	}
}

// accept checks everything that comes before the first attempt.
func (x *exchange) accept() *refusal {
	x.table = x.f.table.Load()
	if x.table == nil || x.f.fleet.Load() == nil {
		return notRun("this host has no document yet")
	}
	if why := x.read(); why != nil {
		return why
	}
	if why := x.match(); why != nil {
		return why
	}
	patience := x.route.Timeout
	if x.call.Patience > 0 {
		patience = min(patience, x.call.Patience)
	}
	x.deadline = x.start.Add(patience)
	x.service = matcher.Draw(x.route, hashOf(x.call.ID))
	return x.limit()
}

// read reads the call.
func (x *exchange) read() *refusal {
	most := x.table.Document().Limits.BodyBytes
	if most <= 0 {
		most = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(io.LimitReader(x.r.Body, int64(most)+1))
	switch {
	case err != nil:
		return &refusal{status: http.StatusBadRequest, why: "the body was not read: " + err.Error()}
	case len(body) > most:
		return &refusal{status: http.StatusRequestEntityTooLarge, why: "the body is too large"}
	}
	c, err := x.f.opts.Codec.Decode(x.r)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, why: err.Error()}
	}
	x.call = &call{Call: c, method: x.r.Method, target: x.r.RequestURI, host: x.r.Host, body: body}
	x.lastEvent = c.LastEvent
	return nil
}

// match finds the route and the customer.
func (x *exchange) match() *refusal {
	path, _, _ := strings.Cut(x.call.target, "?")
	route, ok := x.table.Route(x.call.host, path)
	if !ok {
		return x.unknown(http.StatusNotFound, "no route matches")
	}
	x.route = route
	if route.Anonymous || !x.table.HasCustomers() {
		return nil
	}
	if !x.f.opts.Current() {
		return notRun("this host may not know which keys were withdrawn")
	}
	x.customer, ok = x.table.Customer(x.call.Key)
	if !ok {
		return x.unknown(http.StatusUnauthorized, "the key is unknown")
	}
	return nil
}

// unknown refuses what the document does not name, unless this host may not
// have the newest document.
func (x *exchange) unknown(status int, why string) *refusal {
	if !x.f.opts.Current() {
		return notRun(why + ", but this host may not have the newest document")
	}
	return &refusal{status: status, why: why}
}

// limit takes the call's cost from its customer's rate.
func (x *exchange) limit() *refusal {
	if x.customer == nil {
		return nil
	}
	x.cost = 1
	if x.customer.CountsTokens {
		x.cost = float64(x.customer.DefaultTokens)
		if x.call.HasTokens {
			x.cost = float64(x.call.PromptTokens + x.call.OutputTokens)
		}
	}
	if r := x.f.opts.Limiter.Take(x.customer.Name, x.cost); r != nil {
		x.cost = 0
		return &refusal{http.StatusTooManyRequests, r.Error(), r.Wait}
	}
	return nil
}

var (
	brokenOff   = metrics.NewCounter("cyclamen_forwarder_streams_broken_off_total")
	resumed     = metrics.NewCounter("cyclamen_forwarder_streams_resumed_total")
	retried     = metrics.NewCounter("cyclamen_forwarder_retries_total")
	callSeconds = metrics.NewHistogram("cyclamen_forwarder_call_seconds")
)
