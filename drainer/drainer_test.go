package drainer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/connector"
	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/drainer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/faker"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/refuser"
)

// host is one entry host.
type host struct {
	name    identifier.Host
	d       *dispatcher.Dispatcher
	dr      *drainer.Drainer
	pool    *connector.Pool
	metrics *metrics.Set
	unready atomic.Bool
	stopped atomic.Bool
	// callOverride, if set, replaces fleet.call for the calls of this host.
	callOverride atomic.Pointer[drainer.CallFunc]
	stop         func()
}

func (h *host) counter(name string) uint64 { return h.metrics.GetOrCreateCounter(name).Get() }

// fleet is a number of entry hosts with two model engines and a plain service,
// all in memory.
type fleet struct {
	t       *testing.T
	net     *faker.Network
	engines [2]*faker.Engine
	plain   *faker.Plain
	stops   []func()
	hosts   []*host
	tables  atomic.Pointer[dispatcher.Table]
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	f := &fleet{t: t, net: faker.NewNetwork(), plain: faker.NewPlain(1)}
	doc := &configurer.Fleet{Defaults: configurer.Defaults{
		Services: []configurer.Service{
			{Name: "model", Kind: configurer.ModelService, Version: "v1"},
			{Name: "plain", Kind: configurer.PlainService, Version: "v1"},
		},
		Customers: []configurer.Customer{{Name: "c"}},
		Limits:    configurer.Limits{BodyBytes: 1 << 16, QueuedRequests: 100, RetryShare: 0.1},
	}}
	add := func(name, service string, h http.Handler) {
		f.stops = append(f.stops, f.net.Serve(name, h))
		doc.Defaults.BackendServers = append(doc.Defaults.BackendServers, configurer.BackendServer{
			Name: identifier.BackendServer(name), Service: identifier.Service(service), Version: "v1", FailureDomain: "a", Address: name, Concurrency: 4,
		})
	}
	for i := range f.engines {
		f.engines[i] = faker.NewEngine(faker.EngineConfig{Version: "v1", StepTime: 10 * time.Millisecond})
		add(fmt.Sprintf("e%d", i), "model", f.engines[i])
	}
	add("p0", "plain", f.plain)
	f.tables.Store(dispatcher.NewTable(doc))
	var all []configurer.HostAddress
	for i := range n {
		name := fmt.Sprintf("h%d", i)
		all = append(all, configurer.HostAddress{Name: identifier.Host(name), FailureDomain: identifier.FailureDomain("ab"[i%2 : i%2+1]), Address: name})
	}
	for _, self := range all {
		f.hosts = append(f.hosts, f.newHost(self, all))
	}
	return f
}

func (f *fleet) newHost(self configurer.HostAddress, all []configurer.HostAddress) *host {
	h := &host{name: self.Name, metrics: metrics.NewSet()}
	h.pool = connector.NewPool(connector.Options{Dial: f.net.Dial, Metrics: h.metrics})
	h.d = dispatcher.New(dispatcher.Options{Tables: &f.tables, Pool: h.pool, Metrics: h.metrics})
	h.dr = drainer.New(drainer.Options{
		Self: self, Hosts: all, Dispatcher: h.d, Metrics: h.metrics,
		SetReady: func(ready bool) { h.unready.Store(!ready) },
		Call: func(ctx context.Context, address string, method messenger.Method, req, resp proto.Message) error {
			if c := h.callOverride.Load(); c != nil {
				return (*c)(ctx, address, method, req, resp)
			}
			return f.call(ctx, address, method, req, resp)
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { h.dr.Run(ctx) })
	h.stop = sync.OnceFunc(func() {
		h.stopped.Store(true)
		cancel()
		wg.Wait()
		h.pool.Close()
	})
	return h
}

// call delivers a call as the messenger would. The messenger itself cannot be
// used here, because yamux sessions share timers across synctest bubbles.
func (f *fleet) call(ctx context.Context, address string, method messenger.Method, req, resp proto.Message) error {
	i := slices.IndexFunc(f.hosts, func(h *host) bool { return string(h.name) == address })
	h := f.hosts[i]
	if h.stopped.Load() {
		return &messenger.UnreachableError{Address: address, NotSent: true, Err: net.ErrClosed}
	}
	b, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	answer, err := h.dr.Answer(ctx, method, b)
	switch {
	case h.stopped.Load():
		return &messenger.UnreachableError{Address: address, Err: net.ErrClosed}
	case err != nil:
		return refuser.From(err)
	}
	if b, err = proto.Marshal(answer); err != nil {
		return err
	}
	return proto.Unmarshal(b, resp)
}

func (f *fleet) close() {
	for _, h := range f.hosts {
		h.stop()
	}
	for _, stop := range f.stops {
		stop()
	}
	// Wait until requests that no caller follows end at their deadline.
	time.Sleep(2 * time.Minute)
}

// streamCaller is a caller that reads a stream.
type streamCaller struct {
	mu    sync.Mutex
	text  strings.Builder
	ids   []string
	done  bool
	ended chan struct{}
	err   *refuser.Refusal
}

func (a *streamCaller) Begin(dispatcher.Head) error { return nil }

func (a *streamCaller) Write(b []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	for line := range strings.Lines(string(b)) {
		line = strings.TrimSpace(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			a.ids = append(a.ids, id)
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			a.event(data)
		}
	}
	return nil
}

func (a *streamCaller) Flush() error { return nil }

// event processes one payload.
func (a *streamCaller) event(data string) {
	if data == "[DONE]" {
		a.done = true
		return
	}
	var c struct{ Choices []struct{ Text string } }
	if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) == 1 {
		a.text.WriteString(c.Choices[0].Text)
	}
}

const streamTokens = 400

// stream starts a stream on h that takes 4 s.
func (f *fleet) stream(h *host, id identifier.RequestID) *streamCaller {
	s, _ := f.tables.Load().Service("model")
	r := &dispatcher.Request{
		ID: id, Customer: "c", Service: s, Kind: dispatcher.Stream{}, Method: http.MethodPost, Path: "/v1/completions",
		Body:     fmt.Appendf(nil, `{"model":"model","prompt":"scene %s","max_tokens":%d,"stream":true}`, id, streamTokens),
		Deadline: time.Now().Add(time.Minute), Reconnectable: true,
	}
	a := &streamCaller{ended: make(chan struct{})}
	go func() {
		defer close(a.ended)
		a.err = h.d.Do(context.Background(), r, a)
	}()
	return a
}

// checkComplete checks that text is complete and that ids contains each event
// id once and in order.
func (f *fleet) checkComplete(id identifier.RequestID, text string, ids []string) {
	f.t.Helper()
	if diff := cmp.Diff(faker.Text("scene "+string(id), streamTokens), text); diff != "" {
		f.t.Errorf("text differs (-want +got):\n%s", diff)
	}
	for i, got := range ids {
		if want := fmt.Sprint(i + 1); got != want {
			f.t.Fatalf("got event %s, want %s", got, want)
		}
	}
}
