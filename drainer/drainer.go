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
	// tickInterval is the time between two looks at what is at work.
	tickInterval = 50 * time.Millisecond
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// maxEvents bounds the queue of events.
	maxEvents = 1024
)

// CallFunc sends a call to the host at address, as messenger.Messenger.Call.
type CallFunc func(ctx context.Context, address string, method messenger.Method, req, resp proto.Message) error

// Options configure a Drainer. Self, Hosts, Dispatcher and Call are required.
type Options struct {
	Self       configurer.HostAddress
	Hosts      []configurer.HostAddress
	Dispatcher *dispatcher.Dispatcher
	Call       CallFunc
	// SetReady tells the balancer whether to send requests here.
	SetReady func(ready bool)
	// RefuseNew ends the acceptance of new requests.
	RefuseNew func()
	Clock     timer.Clock
	Log       *slog.Logger
	// Metrics receives the counters; nil means a set of its own.
	Metrics *metrics.Set
}

// Drainer moves work away from what leaves. It is safe for concurrent use.
type Drainer struct {
	opt    Options
	events chan Event
	done   chan struct{}

	mu   sync.Mutex
	plan Plan
	// gone holds the hosts that are known to leave, and until when they count
	// as such.
	gone map[identifier.Host]time.Time
	next int

	work sync.WaitGroup

	moves, handed, failed, unknown, taken, told *metrics.Counter
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
		opt: opt, events: make(chan Event, maxEvents), done: make(chan struct{}), gone: make(map[identifier.Host]time.Time),
		moves:   m.GetOrCreateCounter("cyclamen_drain_moves_total"),
		handed:  m.GetOrCreateCounter("cyclamen_handovers_total"),
		failed:  m.GetOrCreateCounter("cyclamen_handovers_failed_total"),
		unknown: m.GetOrCreateCounter("cyclamen_handovers_unknown_total"),
		taken:   m.GetOrCreateCounter("cyclamen_handovers_taken_total"),
		told:    m.GetOrCreateCounter("cyclamen_handovers_told_total"),
	}
}

// Run performs the plan until ctx ends.
func (d *Drainer) Run(ctx context.Context) {
	defer close(d.done)
	defer d.work.Wait()
	var ticks ticking
	defer ticks.set(false)
	for {
		ticks.set(!d.idle())
		select {
		case <-ctx.Done():
			return
		case e := <-d.events:
			d.reduce(ctx, e)
		case <-ticks.c:
			d.reduce(ctx, Tick{Now: d.opt.Clock.Now(), Active: d.opt.Dispatcher.Active()})
		}
	}
}

// ticking is a ticker that costs nothing while it is off. Its zero value is off.
type ticking struct {
	ticker *time.Ticker
	c      <-chan time.Time
}

// set turns the ticker on or off.
func (t *ticking) set(on bool) {
	switch {
	case on == (t.ticker != nil):
	case on:
		t.ticker = time.NewTicker(tickInterval)
		t.c = t.ticker.C
	default:
		t.ticker.Stop()
		*t = ticking{}
	}
}

// reduce feeds the plan and performs its effects.
func (d *Drainer) reduce(ctx context.Context, e Event) {
	d.mu.Lock()
	effects := d.plan.Reduce(e)
	d.mu.Unlock()
	for _, x := range effects {
		d.perform(ctx, x)
	}
}

// perform carries out one effect.
func (d *Drainer) perform(ctx context.Context, x Effect) {
	switch x := x.(type) {
	case Avoid:
		d.opt.Log.Info("backend server leaving", "server", string(x.Server), "leaving", x.Leaving)
		d.opt.Dispatcher.SetLeaving(x.Server, x.Leaving)
	case BecomeUnready:
		d.opt.Log.Info("host leaving", "host", string(d.opt.Self.Name))
		d.opt.SetReady(false)
	case RefuseNew:
		d.opt.RefuseNew()
	case Tell:
		d.tellHosts(x)
	case Move:
		if d.opt.Dispatcher.Move(x.Request) {
			d.moves.Inc()
		}
	case HandOver:
		d.work.Go(func() { d.handOver(ctx, x.Request) })
	case TellUnknown:
		d.work.Go(func() { d.tellUnknown(ctx, x.Request) })
	}
}

// idle reports whether nothing leaves.
func (d *Drainer) idle() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.plan.Idle()
}

// Leaving reports whether this host leaves or stops.
func (d *Drainer) Leaving() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.plan.Leaving()
}

// put queues an event, or drops it after Run.
func (d *Drainer) put(e Event) {
	select {
	case d.events <- e:
	case <-d.done:
	}
}

// ServerLeaves takes the notice that a backend server is reclaimed after left,
// and passes it on to the other hosts.
func (d *Drainer) ServerLeaves(b identifier.BackendServer, left time.Duration) {
	now := d.opt.Clock.Now()
	d.put(ServerLeaves{Server: b, At: now, Deadline: now.Add(left)})
}

// ServerStays takes ServerLeaves back on this host.
func (d *Drainer) ServerStays(b identifier.BackendServer) { d.put(ServerStays{b}) }

// HostLeaves takes the notice that this host is reclaimed after left, and tells
// the other hosts, so that they hand nothing to it.
func (d *Drainer) HostLeaves(left time.Duration) {
	now := d.opt.Clock.Now()
	d.put(HostLeaves{At: now, Deadline: now.Add(left)})
}

// HostStops begins a planned stop.
func (d *Drainer) HostStops() { d.put(HostStops{}) }
