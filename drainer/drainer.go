package drainer

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/timer"
)

const (
	// tickInterval is the time between two checks of the active requests.
	tickInterval = 50 * time.Millisecond
	// callTimeout is the time-out of one call to a peer.
	callTimeout = time.Second
	// maxEvents is the capacity of the event queue.
	maxEvents = 1024
)

// CallFunc sends a call to the host at address, as messenger.Messenger.Call
// does.
type CallFunc func(ctx context.Context, address string, method messenger.Method, req, resp proto.Message) error

// Options configure a Drainer. Self, Hosts, Dispatcher and Call are required.
type Options struct {
	Self       configurer.HostAddress
	Hosts      []configurer.HostAddress
	Dispatcher *dispatcher.Dispatcher
	Call       CallFunc
	// SetReady sets whether this host reports itself as ready, by which the load
	// balancer decides whether to send requests to it.
	SetReady func(ready bool)
	// RefuseNew makes this host refuse new requests.
	RefuseNew func()
	Clock     timer.Clock
	Log       *slog.Logger
	// Metrics receives the counters; nil means a private set.
	Metrics *metrics.Set
}

// Drainer moves requests away from leaving backend servers and from this host
// when it leaves. It is safe for concurrent use.
type Drainer struct {
	opt    Options
	events chan Event
	done   chan struct{}

	mu   sync.Mutex
	plan Plan
	// leavingHosts maps each host that sent a leaving notice to the time until
	// which it counts as leaving.
	leavingHosts map[identifier.Host]time.Time
	// rotation counts the calls of handoverCandidates, for round-robin order.
	rotation int

	work sync.WaitGroup

	moves, handedOver, failed, unknownSent, taken, unknownReceived *metrics.Counter
}

// New returns a Drainer.
func New(opt Options) *Drainer {
	if opt.Clock == nil {
		opt.Clock = timer.System{}
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	if opt.Metrics == nil {
		opt.Metrics = metrics.NewSet()
	}
	if opt.SetReady == nil {
		opt.SetReady = func(bool) {}
	}
	if opt.RefuseNew == nil {
		opt.RefuseNew = func() {}
	}
	m := opt.Metrics
	return &Drainer{
		opt: opt, events: make(chan Event, maxEvents), done: make(chan struct{}), leavingHosts: make(map[identifier.Host]time.Time),
		moves:           m.GetOrCreateCounter("cyclamen_drain_moves_total"),
		handedOver:      m.GetOrCreateCounter("cyclamen_handovers_total"),
		failed:          m.GetOrCreateCounter("cyclamen_handovers_failed_total"),
		unknownSent:     m.GetOrCreateCounter("cyclamen_handovers_unknown_total"),
		taken:           m.GetOrCreateCounter("cyclamen_handovers_taken_total"),
		unknownReceived: m.GetOrCreateCounter("cyclamen_handovers_told_total"),
	}
}

// Run processes events and performs the effects of the plan until ctx ends. It
// waits for calls that are in flight before it returns.
func (d *Drainer) Run(ctx context.Context) {
	defer close(d.done)
	defer d.work.Wait()
	var ticker switchableTicker
	defer ticker.set(false)
	for {
		ticker.set(!d.idle())
		select {
		case <-ctx.Done():
			return
		case e := <-d.events:
			d.reduce(ctx, e)
		case <-ticker.c:
			d.reduce(ctx, Tick{Now: d.opt.Clock.Now(), Active: d.opt.Dispatcher.Active()})
		}
	}
}

// switchableTicker is a ticker that uses no timer while it is off. Its zero
// value is off.
type switchableTicker struct {
	ticker *time.Ticker
	c      <-chan time.Time
}

// set turns the ticker on or off.
func (t *switchableTicker) set(on bool) {
	switch {
	case on == (t.ticker != nil):
	case on:
		t.ticker = time.NewTicker(tickInterval)
		t.c = t.ticker.C
	default:
		t.ticker.Stop()
		*t = switchableTicker{}
	}
}

// reduce passes e to the plan and performs the resulting effects.
func (d *Drainer) reduce(ctx context.Context, e Event) {
	d.mu.Lock()
	effects := d.plan.Reduce(e)
	d.mu.Unlock()
	for _, x := range effects {
		d.perform(ctx, x)
	}
}

// perform performs one effect.
func (d *Drainer) perform(ctx context.Context, x Effect) {
	switch x := x.(type) {
	case SetServerLeaving:
		d.opt.Log.Info("backend server leaving", "server", string(x.Server), "leaving", x.Leaving)
		d.opt.Dispatcher.SetLeaving(x.Server, x.Leaving)
	case MarkUnready:
		d.opt.Log.Info("host leaving", "host", string(d.opt.Self.Name))
		d.opt.SetReady(false)
	case RefuseNew:
		d.opt.RefuseNew()
	case NotifyHosts:
		d.notifyHosts(x)
	case Move:
		if d.opt.Dispatcher.Move(x.Request) {
			d.moves.Inc()
		}
	case HandOver:
		d.work.Go(func() { d.handOver(ctx, x.Request) })
	case ReportUnknown:
		d.work.Go(func() { d.reportUnknown(ctx, x.Request) })
	}
}

// idle reports whether neither this host nor a backend server leaves.
func (d *Drainer) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.plan.Idle()
}

// Leaving reports whether this host is leaving or stopping.
func (d *Drainer) Leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.plan.Leaving()
}

// enqueue queues an event. After Run has returned, the event is dropped.
func (d *Drainer) enqueue(e Event) {
	select {
	case d.events <- e:
	case <-d.done:
	}
}

// ServerLeaves handles the notice that backend server b is reclaimed once
// the remaining time has passed, and forwards it to the other hosts.
func (d *Drainer) ServerLeaves(b identifier.BackendServer, remaining time.Duration) {
	now := d.opt.Clock.Now()
	d.enqueue(ServerLeaves{Server: b, At: now, Deadline: now.Add(remaining)})
}

// ServerStays cancels the notice of backend server b on this host only.
func (d *Drainer) ServerStays(b identifier.BackendServer) { d.enqueue(ServerStays{b}) }

// HostLeaves handles the notice that this host is reclaimed once the remaining
// time has passed. It notifies the other hosts so that they hand over no
// requests to this host.
func (d *Drainer) HostLeaves(remaining time.Duration) {
	now := d.opt.Clock.Now()
	d.enqueue(HostLeaves{At: now, Deadline: now.Add(remaining)})
}

// HostStops begins a planned stop of this host.
func (d *Drainer) HostStops() { d.enqueue(HostStops{}) }
