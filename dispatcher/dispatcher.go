package dispatcher

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/connector"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/timer"
)

// defaultReconnectGrace is how long a request goes on without its caller.
const defaultReconnectGrace = 10 * time.Second

// maxMemoryClaims bounds the claims of the in-memory claimer.
const maxMemoryClaims = 100_000

// Options configure a Dispatcher. Only Tables is required.
type Options struct {
	Tables *atomic.Pointer[Table]
	Clock  timer.Clock
	Log    *slog.Logger
	// Host and FailureDomain are those of this process.
	Host          identifier.Host
	FailureDomain identifier.FailureDomain
	// Chooser chooses backend servers; nil means LeastInFlight.
	Chooser Chooser
	// Claimer grants idempotency keys; nil means a MemoryClaimer.
	Claimer Claimer
	// Pool holds the connections; nil means a pool of its own.
	Pool *connector.Pool
	// Metrics receives the counters; nil means a set of its own.
	Metrics *metrics.Set
	// ReconnectGrace is how long a request goes on without its caller.
	ReconnectGrace time.Duration
}

// withDefaults fills in what was left out.
func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = timer.System{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Chooser == nil {
		o.Chooser = NewLeastInFlight(o.FailureDomain, o.Clock)
	}
	if o.Claimer == nil {
		o.Claimer = NewMemoryClaimer(maxMemoryClaims)
	}
	if o.Pool == nil {
		o.Pool = connector.NewPool(connector.Options{Clock: o.Clock, Metrics: o.Metrics})
	}
	if o.ReconnectGrace == 0 {
		o.ReconnectGrace = defaultReconnectGrace
	}
	return o
}

// Dispatcher owns accepted requests. It is safe for concurrent use.
type Dispatcher struct {
	opt      Options
	counters counters
	records  *registry
	sequence atomic.Uint64

	mu      sync.Mutex
	budgets map[identifier.Service]*budget
	running map[identifier.RequestID]*task
}

// New returns a Dispatcher.
func New(opt Options) *Dispatcher {
	opt = opt.withDefaults()
	d := &Dispatcher{
		opt: opt, counters: newCounters(opt.Metrics), records: newRegistry(),
		budgets: make(map[identifier.Service]*budget),
		running: make(map[identifier.RequestID]*task),
	}
	opt.Metrics.GetOrCreateGauge("cyclamen_requests_running", func() float64 { return float64(d.Running()) })
	return d
}

// Running returns the number of accepted requests without a final answer.
func (d *Dispatcher) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.running)
}

// Do runs an accepted request to its one final answer. It sends an answer to
// sink, or returns the refusal that is the final answer; where the answer had
// begun on sink, the refusal tells how it broke off.
//
// A request outlives ctx, which is its caller's: see Request.Reconnectable.
func (d *Dispatcher) Do(ctx context.Context, r *Request, sink Sink) *refuser.Refusal {
	record, refusal := d.records.open(r)
	if refusal != nil {
		return refusal
	}
	t := d.start(ctx, r, record, sink)
	defer d.end(t)
	refusal = t.answer()
	record.settle(t.kept, refusal)
	return refusal
}

// start registers a running request.
func (d *Dispatcher) start(ctx context.Context, r *Request, record *Record, sink Sink) *task {
	t := &task{
		d: d, r: r, record: record, sink: sink,
		ledger: ledger{nonIdempotent: r.nonIdempotent()}, budget: d.budget(r.Service.Name),
	}
	t.ctx, t.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	t.ctx, t.stopDeadline = context.WithDeadline(t.ctx, r.Deadline)
	t.stopDetach = context.AfterFunc(ctx, t.detach)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[r.ID] = t
	return t
}

// end forgets a running request.
func (d *Dispatcher) end(t *task) {
	t.stopDetach()
	t.stopDeadline()
	t.cancel(nil)
	d.mu.Lock()
	delete(d.running, t.r.ID)
	d.mu.Unlock()
	d.records.close(t.record, t.r.Reconnectable || t.r.Key != "")
}

// budget returns the retry budget of a service.
func (d *Dispatcher) budget(s identifier.Service) *budget {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.budgets[s]
	if !ok {
		b = newBudget()
		d.budgets[s] = b
	}
	return b
}

// Lookup returns what is known of a customer's request.
func (d *Dispatcher) Lookup(customer identifier.Customer, id identifier.RequestID) (Status, bool) {
	c, ok := d.records.find(customer, id)
	if !ok {
		return Status{}, false
	}
	return c.Status(), true
}

// Stored returns the whole answer of a finished request, where it is kept.
func (d *Dispatcher) Stored(customer identifier.Customer, id identifier.RequestID) (*Answer, bool) {
	c, ok := d.records.find(customer, id)
	if !ok {
		return nil, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answer, c.answer != nil
}

// Follow sends the events of a customer's stream after event n to sink until
// the stream ends. It returns the refusal that ended the stream, if any, and
// an error where the caller went away.
func (d *Dispatcher) Follow(ctx context.Context, customer identifier.Customer, id identifier.RequestID, n int, sink Sink) (*refuser.Refusal, error) {
	c, ok := d.records.find(customer, id)
	if !ok || !c.stream {
		return refuser.MayHaveRun(refuser.NotFound, "no stream with that request id is known here", "send the request anew"), nil
	}
	if err := sink.Begin(streamHead()); err != nil {
		return nil, err
	}
	return c.follow(ctx, n, sink)
}
