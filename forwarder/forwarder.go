package forwarder

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/accountant"
	"cyclamenhub.org/budgeter"
	"cyclamenhub.org/connector"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/isolator"
	"cyclamenhub.org/matcher"
	"cyclamenhub.org/placer"
	"cyclamenhub.org/relayer"
	"cyclamenhub.org/roller"
	"cyclamenhub.org/sharer"
	"cyclamenhub.org/timer"
)

// defaultMaxBodyBytes bounds the body of a call if the document sets no limit.
const defaultMaxBodyBytes = 4 << 20

// Options configure a Forwarder.
type Options struct {
	Codec   describer.Codec
	Pool    *connector.Pool
	Placer  *placer.Placer
	Limiter *sharer.Limiter
	Meter   *accountant.Meter
	// Versions picks the version of a service; nil means the most common one.
	Versions Versions
	Retries  RetryBudget
	// RequestPermits asks the leader for permits for servers with limits and for places
	// at brittle ones and returns once it has answered or cannot be waited for; nil means
	// that no leader issues any.
	RequestPermits func(ctx context.Context)
	// Isolation tells which parts of prompts are isolated and collects evidence; nil
	// means one without contact to other hosts.
	Isolation *isolator.Watcher
	// Reach is what this host knows of its connections to backend servers; nil means
	// one of its own.
	Reach *relayer.Reach
	// Peers returns the hosts that may serve calls of a service which this host does not
	// reach; nil means that there are none. ReachChanged is called when the leader is
	// to be told which services those are. Neither must block.
	Peers        func(s identifier.Service) []identifier.Host
	ReachChanged func()
	// PeerPool and PeerAddress are for the connections to peers.
	PeerPool    *connector.Pool
	PeerAddress func(h identifier.Host) string
	// EndConfirmed is called when the isolation has new evidence for the leader;
	// nil means that there is no leader.
	EndConfirmed func()
	// Hosts is the assumed number of entry hosts until SetHosts is called.
	Hosts int
	// Tolerance is how far customers may exceed their rates.
	Tolerance describer.Tolerance
	// Regions holds the region of each failure domain.
	Regions map[identifier.FailureDomain]identifier.Region
	// WarmUp is how far requests to a cold backend server may exceed the rate that
	// it tolerates.
	WarmUp describer.Tolerance
	// LeavingTime is for how long a server that leaves in order serves on at least, from its
	// notice on; 0 means that it is not known. NoticeLag is how much later this host may learn
	// of the notice.
	LeavingTime, NoticeLag time.Duration
	// MemoryBytes is the memory that the process may use; 0 means that it is not known.
	MemoryBytes int64
	// Current reports whether this host certainly knows the latest withdrawal
	// of keys. While it returns false, calls with keys are refused.
	Current func() bool
	// BecameCurrent is closed when Current becomes true for the first time; nil
	// means that Current is true from the start.
	BecameCurrent <-chan struct{}
	Clock         timer.Clock
	// TimeOfDay is the clock by which usage is counted; nil means the system
	// clock.
	TimeOfDay timer.Clock
	Log       *slog.Logger
}

// Forwarder forwards the calls of callers. It is an http.Handler.
type Forwarder struct {
	opts    Options
	started time.Time
	table   atomic.Pointer[matcher.Table]
	fleet   atomic.Pointer[fleet]
	retries *retryBudgets
	// bodies is the budget for the bodies of answers, and requests that for those of requests.
	bodies   bodyBudget
	requests *budgeter.Budget
	// refusals tells servers that have ended from those that this host is cut off from.
	refusals *relayer.Refusals
	// notices are the runs of servers that leave.
	notices notices
	// pulse tells whether this host stood still.
	pulse pulse
	// unidentified holds the addresses of backend servers whose refusals bear no id.
	unidentified addressSet
	// active counts the calls in progress, and relayed those of other hosts among them.
	active, relayed atomic.Int64
	// ending ends when the calls in progress end, by endCalls.
	ending   context.Context
	endCalls context.CancelFunc
	// endsAt is when that will be, or nil while it is not known.
	endsAt atomic.Pointer[time.Time]
}

// New returns a Forwarder that refuses every call until it has a routing table
// and a listing.
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
	if opts.Isolation == nil {
		opts.Isolation = isolator.NewWatcher("", opts.Clock)
	}
	if opts.Reach == nil {
		opts.Reach = relayer.NewReach(opts.Clock, nil)
	}
	if opts.Peers == nil {
		opts.Peers = func(identifier.Service) []identifier.Host { return nil }
	}
	if opts.ReachChanged == nil {
		opts.ReachChanged = func() {}
	}
	if opts.EndConfirmed == nil {
		opts.EndConfirmed = func() {}
	}
	if opts.Current == nil {
		opts.Current = func() bool { return true }
	}
	f := &Forwarder{opts: opts, started: opts.Clock.Now(), retries: newRetryBudgets(opts.Retries, opts.Hosts), refusals: relayer.NewRefusals(opts.Clock)}
	f.bodies.setMemory(opts.MemoryBytes)
	f.requests = newRequestBudget(&f.opts)
	f.ending, f.endCalls = context.WithCancel(context.Background())
	return f
}

// SetTable replaces the routing table and applies its rates.
func (f *Forwarder) SetTable(t *matcher.Table) {
	f.opts.Limiter.Configure(RatesOf(t.Document(), f.opts.Tolerance))
	f.table.Store(t)
	f.publishServers()
}

// publishServers passes the current servers to the placer.
func (f *Forwarder) publishServers() {
	if fl := f.fleet.Load(); fl != nil {
		f.opts.Placer.Publish(fl.candidates(f.table.Load(), &f.opts))
	}
}

// RatesOf returns the rates of a document's customers, extended by the
// tolerance.
func RatesOf(d *describer.Document, t describer.Tolerance) map[identifier.Customer]sharer.Rate {
	rates := make(map[identifier.Customer]sharer.Rate, len(d.Customers))
	for _, c := range d.Customers {
		rates[c.Name] = sharer.Rate{PerSecond: c.Rate, Burst: c.Burst}.WithTolerance(t)
	}
	return rates
}

// Table returns the current routing table, or nil.
func (f *Forwarder) Table() *matcher.Table { return f.table.Load() }

// SetListing replaces the listing of backend servers.
func (f *Forwarder) SetListing(l *discoverer.Listing) {
	fl := newFleet(l)
	f.fleet.Store(fl)
	f.unidentified.retain(fl)
	f.notices.update(fl)
	f.publishServers()
}

// SetHosts sets the number of entry hosts.
func (f *Forwarder) SetHosts(n int) { f.retries.setHosts(n) }

// EndAt announces that the calls in progress end at the given time, by Options.Clock. Calls
// that have not been sent yet and may last longer are refused.
func (f *Forwarder) EndAt(t time.Time) { f.endsAt.Store(&t) }

// EndCalls makes all calls end now, as the process does. Those that no part of an answer
// was sent to are answered.
func (f *Forwarder) EndCalls() { f.endCalls() }

// errStopping cancels the calls of a host that ends.
var errStopping = errors.New("the host stops and its grace period ends")

// Active returns the number of calls in progress.
func (f *Forwarder) Active() int64 { return f.active.Load() }

// ServeHTTP serves one call.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.newExchange(w, r).serve()
}

// newExchange returns a call that has just arrived.
func (f *Forwarder) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{f: f, w: w, r: r, start: f.opts.Clock.Now()}
}

// exchange is the state of one call.
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

	// suspects holds what may end a backend server that begins to answer the call:
	// the parts of the prompt that other prompts may contain, and the whole request.
	suspects []describer.PromptPart
	// untrack ends the registration of the call with the isolation.
	untrack func()
	// survived is set once a backend server has survived the call, and losses
	// counts the attempts before that whose connections broke.
	survived bool
	losses   int
	// isProbe is set if the call may pass although one of its suspects is isolated.
	isProbe bool
	// attemptState is the state of the current attempt, or of the last one.
	attemptState
	// replacement is the attempt that has begun to answer in place of the current one,
	// and replacements counts the attempts to begin one.
	replacement  *begunAttempt
	replacements int
	// awaited is the replacement that has not begun to answer, or nil.
	awaited *awaitedReplacement

	// isRelayed is set if another host has passed the call to this one, and peer is the
	// host that this one has passed it to.
	isRelayed bool
	peer      identifier.Host

	tried []identifier.BackendServer
	// sends counts all attempts, unsent those that reached no backend server,
	// and runs those that may have run.
	sends, unsent, runs int
	// keyWithdrawn is set once the call's key was found to be withdrawn before the
	// call was sent.
	keyWithdrawn bool
	// heldResponse is a failure response of a backend server. It is returned if
	// no later attempt answers the call.
	heldResponse *bufferedResponse
	// heldBytes is what the bodies of this call's answers have taken from the host's budget.
	heldBytes int64
	// claim is what the body of the request has taken, or nil if there is none.
	claim *budgeter.Claim
	// isRead is set once the body was read to its end.
	isRead bool
	// headerSent is set once the header of a stream has been written to the
	// caller.
	headerSent bool
	// usageCounted is set once the call has been counted in its customer's
	// usage.
	usageCounted bool
	lastEvent    string
	position     streamPosition
	// revisionAtSend is the revision in force when the last attempt was sent.
	revisionAtSend identifier.Revision
	// returnAfter is the time after which the call may come back if it is refused;
	// 0 means that no such time is known.
	returnAfter time.Duration
	// noRetry is why no further attempt was made after a failed one.
	noRetry retryDenial
	status  int
	reason  string
	// assignment tracks the picked version of the first attempt while
	// assignmentOpen is set.
	// firstAfter is the time from the start of the call to the first byte of
	// content.
	assignment     roller.Assignment
	assignmentOpen bool
	watch          contentWatch
	firstAfter     time.Duration
}

// serve runs the call from its admission to its result.
func (x *exchange) serve() {
	x.f.active.Add(1)
	defer x.f.active.Add(-1)
	defer x.logCall()
	defer func() { x.claim.Release() }()
	x.awaitCurrent()
	if refusal := x.admit(); refusal != nil {
		x.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	x.ctx = ctx
	x.track(end)
	defer x.untrack()
	defer context.AfterFunc(x.f.ending, func() { end(errStopping) })()
	defer func() { x.f.bodies.release(x.heldBytes) }()
	defer x.dropReplacement()
	x.f.retries.deposit(x.service)
	x.run()
}

// startupWait is how long after its start a host holds calls until Current is
// first true. The keepers may have started at the same time, and elect a leader
// within half a second to a second.
const startupWait = time.Second

// awaitCurrent holds a call on a host that has just started until Current is
// first true, at most until startupWait after the start. After a power loss all
// hosts restart and callers call simultaneously; a call that is refused then
// would be retried too late to meet its target.
func (x *exchange) awaitCurrent() {
	remaining := startupWait - x.start.Sub(x.f.started)
	if x.f.opts.BecameCurrent == nil || remaining <= 0 {
		return
	}
	t := time.NewTimer(remaining)
	defer t.Stop()
	select {
	case <-x.f.opts.BecameCurrent:
	case <-t.C:
	case <-x.r.Context().Done():
	}
}

// admit makes every check that precedes the first attempt and returns a
// refusal, or nil if the call may be sent.
func (x *exchange) admit() *refusal {
	x.table = x.f.table.Load()
	if x.table == nil || x.f.fleet.Load() == nil {
		return refuseNotRun("this host has no document yet")
	}
	if r := x.readCall(); r != nil {
		return r
	}
	// The table is loaded again after the lease check: a lease that begins while the
	// call is read is valid only for the document that came with it.
	current := x.f.opts.Current()
	x.table = x.f.table.Load()
	if r := x.match(current); r != nil {
		return r
	}
	x.deadline = x.start.Add(x.timeoutOn(x.route))
	if end := x.f.endsAt.Load(); end != nil && x.deadline.After(*end) {
		return refuseNotRun("this host stops before the call would have to end")
	}
	x.service = matcher.PickService(x.route, hashOf(x.call.ID))
	request := isolator.RequestSuspect(x.call.fingerprint(x.customerName()))
	x.suspects = append(slices.Clip(describer.SharedParts(x.call.Parts)), request)
	if r := x.admitSuspects(); r != nil {
		return r
	}
	return x.chargeRate()
}

// readCall decodes the header and reads the body.
func (x *exchange) readCall() *refusal {
	c, err := x.f.opts.Codec.Decode(x.r)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: err.Error()}
	}
	x.call = &call{Call: c, method: x.r.Method, target: x.r.RequestURI, host: x.r.Host}
	x.lastEvent = c.LastEvent
	if r := x.refuseUnread(); r != nil {
		return r
	}
	var r *refusal
	x.call.body, r = x.readBody()
	return r
}

// refuseUnread returns the refusal of a call that is certain before its body is read, or nil.
// What is not certain is left to the checks after that.
func (x *exchange) refuseUnread() *refusal {
	if x.r.ContentLength > x.maxBodyBytes() {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: budgeter.ErrTooLarge.Error()}
	}
	if !x.f.opts.Current() {
		return nil
	}
	x.table = x.f.table.Load() // Loaded after the lease check, as in admit.
	return x.match(true)
}

// timeoutOn returns the time that the call has on a route.
func (x *exchange) timeoutOn(r *describer.Route) time.Duration {
	if x.call.Timeout > 0 {
		return min(r.Timeout, x.call.Timeout)
	}
	return r.Timeout
}

// findRoute returns the route of the call in its table.
func (x *exchange) findRoute() (*describer.Route, bool) {
	path, _, _ := strings.Cut(x.call.target, "?")
	return x.table.Route(x.call.host, path)
}

// match finds the route and the customer in the table. current states whether
// the table is certainly the latest one.
func (x *exchange) match(current bool) *refusal {
	x.customer = nil
	route, ok := x.findRoute()
	if !ok {
		return refuseUnknown(current, http.StatusNotFound, "no route matches")
	}
	x.route = route
	if route.Anonymous || !x.table.HasCustomers() {
		return nil
	}
	if !current {
		return refuseNotRun(errNotCurrent.Error())
	}
	x.customer, ok = x.table.Customer(x.call.Key)
	if !ok {
		return refuseUnknown(current, http.StatusUnauthorized, "the key is unknown")
	}
	return nil
}

// customerName returns the name of the caller's customer, or "" if it has none.
func (x *exchange) customerName() identifier.Customer {
	if x.customer == nil {
		return ""
	}
	return x.customer.Name
}

// refuseUnknown refuses a route or key that the document does not contain, with
// status 503 if that document may not be the latest one.
func refuseUnknown(current bool, status int, reason string) *refusal {
	if !current {
		return refuseNotRun(reason + ", but this host may not have the newest document")
	}
	return &refusal{status: status, reason: reason}
}

// chargeRate takes the cost of the call from its customer's rate, in tokens or
// calls.
func (x *exchange) chargeRate() *refusal {
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
	streamsBrokenOff = metrics.NewCounter("cyclamen_forwarder_streams_broken_off_total")
	streamsResumed   = metrics.NewCounter("cyclamen_forwarder_streams_resumed_total")
	sentByOlderDoc   = metrics.NewCounter("cyclamen_forwarder_attempts_by_older_document_total")
	attemptsReplaced = metrics.NewCounter(`cyclamen_forwarder_silences_total{result="replaced"}`)
	silencesBorne    = metrics.NewCounter(`cyclamen_forwarder_silences_total{result="awaited"}`)
	retriesTotal     = metrics.NewCounter("cyclamen_forwarder_retries_total")
	callSeconds      = metrics.NewHistogram("cyclamen_forwarder_call_seconds")
)
