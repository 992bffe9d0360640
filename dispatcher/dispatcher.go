package dispatcher

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/admitter"
	"cyclamenhub.org/claimer"
	"cyclamenhub.org/connector"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/router"
	"cyclamenhub.org/timer"
)

// defaultReconnectGrace is the default of Options.ReconnectGrace.
const defaultReconnectGrace = 10 * time.Second

// Options configures a Dispatcher. Only Tables is required.
type Options struct {
	Tables *atomic.Pointer[Table]
	Clock  timer.Clock
	Log    *slog.Logger
	// Host and FailureDomain are those of this process.
	Host          identifier.Host
	FailureDomain identifier.FailureDomain
	// Chooser chooses backend servers; nil means a Chooser with its own router.
	Chooser Chooser
	// Admitter accepts requests; nil means a new one. The dispatcher updates
	// its limits from the table.
	Admitter *admitter.Admitter
	// PickVersion picks the version that a request is sent to; nil means the
	// version of its service.
	PickVersion VersionPicker
	// Claimer grants idempotency keys; nil means a claimer.MemoryClaimer, which
	// loses its claims when the process ends.
	Claimer claimer.Claimer
	// Pool holds the connections; nil means a new pool.
	Pool *connector.Pool
	// Metrics receives the counters; nil means a new set.
	Metrics *metrics.Set
	// ReconnectGrace is how long a reconnectable request continues after its
	// caller has disconnected.
	ReconnectGrace time.Duration
}

// withDefaults returns o with defaults for the unset fields.
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
		o.Chooser = NewRouterChooser(router.New(router.Config{Clock: o.Clock, Metrics: o.Metrics, FailureDomain: o.FailureDomain}))
	}
	if o.Claimer == nil {
		o.Claimer = claimer.NewMemoryClaimer(o.Clock, 0)
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
	// adopted counts the running requests that other hosts accepted.
	adopted atomic.Int64

	// leaving holds the names of the servers that are leaving.
	leaving sync.Map

	admissionOnce sync.Once
	admit         *admission

	mu      sync.Mutex
	running map[identifier.RequestID]*task
}

// New returns a Dispatcher.
func New(opt Options) *Dispatcher {
	opt = opt.withDefaults()
	d := &Dispatcher{
		opt: opt, counters: newCounters(opt.Metrics), records: newRegistry(),
		running: make(map[identifier.RequestID]*task),
	}
	opt.Metrics.GetOrCreateGauge("cyclamen_requests_running", func() float64 { return float64(d.Running()) })
	return d
}

// Table returns the current table.
func (d *Dispatcher) Table() *Table { return d.opt.Tables.Load() }

// Running returns the number of accepted requests without a final answer.
func (d *Dispatcher) Running() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.running)
}

// Do runs a request until its one final answer. It sends an answer to sink, or
// returns the refusal that is the final answer. If the answer had already begun
// on sink, the refusal says why it was cut off.
//
// The request may continue after ctx, the caller's context, is cancelled: see
// Request.Reconnectable.
func (d *Dispatcher) Do(ctx context.Context, r *Request, sink Sink) *refuser.Refusal {
	if !r.Deadline.After(d.opt.Clock.Now()) {
		return refuser.NotRun(refuser.DeadlinePassed, "the deadline has passed", "send the request with a later deadline")
	}
	grant, refusal := d.admission().admit(ctx, d.Table(), r)
	if refusal != nil {
		return refusal
	}
	record, refusal := d.records.open(r)
	if refusal != nil {
		grant.Done(admitter.Outcome{Result: admitter.Abandoned})
		return refusal
	}
	return d.finish(d.start(ctx, r, record, sink, grant))
}

// admission returns the admission, which it creates on first use, when a table
// has been published.
func (d *Dispatcher) admission() *admission {
	d.admissionOnce.Do(func() {
		d.admit = newAdmission(d.opt.Admitter, d.opt.Clock, d.opt.Metrics)
	})
	return d.admit
}

// finish runs a started request to its end.
func (d *Dispatcher) finish(t *task) *refuser.Refusal {
	defer d.end(t)
	refusal := t.answer()
	t.record.settle(t.storedAnswer, refusal)
	t.endGrant(refusal)
	return refusal
}

// start registers a running request.
func (d *Dispatcher) start(ctx context.Context, r *Request, record *Record, sink Sink, grant *admitter.Grant) *task {
	t := &task{
		d: d, r: r, record: record, sink: sink,
		ledger: ledger{nonIdempotent: r.nonIdempotent()}, grant: grant,
	}
	t.ctx, t.cancel = context.WithCancelCause(context.WithoutCancel(ctx))
	t.ctx, t.stopDeadline = context.WithDeadline(t.ctx, r.Deadline)
	t.stopDetach = context.AfterFunc(ctx, t.detach)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[r.ID] = t
	return t
}

// end unregisters a running request.
func (d *Dispatcher) end(t *task) {
	t.closeFreeze()
	t.stopDetach()
	t.stopDeadline()
	t.cancel(nil)
	d.mu.Lock()
	if d.running[t.r.ID] == t {
		delete(d.running, t.r.ID)
	}
	d.mu.Unlock()
	d.records.close(t.record, t.r.Reconnectable || t.r.Key != "")
}

// SetLeaving sets whether a backend server is leaving and takes no new
// requests.
func (d *Dispatcher) SetLeaving(b identifier.BackendServer, leaving bool) {
	if leaving {
		d.leaving.Store(b, true)
	} else {
		d.leaving.Delete(b)
	}
	d.opt.Chooser.SetLeaving(b, leaving)
}

// isLeaving reports whether a server is leaving.
func (d *Dispatcher) isLeaving(b identifier.BackendServer) bool {
	_, ok := d.leaving.Load(b)
	return ok
}

// Lookup returns the status of a customer's request.
func (d *Dispatcher) Lookup(customer identifier.Customer, id identifier.RequestID) (Status, bool) {
	record, ok := d.records.find(customer, id)
	if !ok {
		return Status{}, false
	}
	return record.Status(), true
}

// Stored returns the complete answer of a finished request if it is still
// stored.
func (d *Dispatcher) Stored(customer identifier.Customer, id identifier.RequestID) (*Answer, bool) {
	record, ok := d.records.find(customer, id)
	if !ok {
		return nil, false
	}
	record.mu.Lock()
	defer record.mu.Unlock()
	return record.answer, record.answer != nil
}
