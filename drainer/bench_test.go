package drainer_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/drainer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/faker"
	"cyclamenhub.org/messenger"
)

// benchHost is an entry host on loopback.
type benchHost struct {
	d  *dispatcher.Dispatcher
	dr *drainer.Drainer
}

// newBenchHosts returns two hosts that share one engine.
func newBenchHosts(b *testing.B) (hosts [2]benchHost, tables *atomic.Pointer[dispatcher.Table]) {
	b.Helper()
	engine := httptest.NewServer(faker.NewEngine(faker.EngineConfig{StepTime: 50 * time.Millisecond}))
	b.Cleanup(func() {
		engine.CloseClientConnections()
		engine.Close()
	})
	tables = new(atomic.Pointer[dispatcher.Table])
	tables.Store(dispatcher.NewTable(&configurer.Fleet{Defaults: configurer.Defaults{
		Services:       []configurer.Service{{Name: "model", Kind: configurer.ModelService, Version: "v1"}},
		BackendServers: []configurer.BackendServer{{Name: "e0", Service: "model", Version: "v1", FailureDomain: "a", Address: engine.Listener.Addr().String(), Concurrency: 10_000}},
		Customers:      []configurer.Customer{{Name: "c"}},
		Limits:         configurer.Limits{BodyBytes: 1 << 20, QueuedRequests: 100_000, RetryShare: 0.1},
	}}))
	var lns [2]net.Listener
	var all []configurer.HostAddress
	for i := range lns {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		lns[i] = ln
		all = append(all, configurer.HostAddress{Name: identifier.Host(fmt.Sprint("h", i)), FailureDomain: "a", Address: ln.Addr().String()})
	}
	for i := range hosts {
		m := messenger.New(messenger.Options{Host: all[i].Name})
		hosts[i].d = dispatcher.New(dispatcher.Options{Tables: tables, FailureDomain: "a"})
		hosts[i].dr = drainer.New(drainer.Options{Self: all[i], Hosts: all, Dispatcher: hosts[i].d, Call: m.Call})
		hosts[i].dr.Register(m)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = m.Serve(lns[i]) }()
		go hosts[i].dr.Run(ctx)
		b.Cleanup(func() {
			cancel()
			_ = lns[i].Close()
			m.Close()
		})
	}
	return hosts, tables
}

// BenchmarkHandOver measures the time from the notice until the peer owns the
// last of the host's streams.
func BenchmarkHandOver(b *testing.B) {
	for _, streams := range []int{100, 1000} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				hosts, tables := newBenchHosts(b)
				startStreams(b, hosts[0].d, tables, streams)
				// Handovers begin after the first third of the notice, so the
				// notice is short.
				b.StartTimer()
				hosts[0].dr.HostLeaves(3 * time.Millisecond)
				for hosts[1].d.Running() < streams {
					time.Sleep(time.Millisecond)
				}
			}
			b.ReportMetric(float64(streams)*float64(b.N)/b.Elapsed().Seconds(), "streams/s")
		})
	}
}

// startStreams starts n streams and waits until each has at least one event.
func startStreams(b *testing.B, d *dispatcher.Dispatcher, tables *atomic.Pointer[dispatcher.Table], n int) {
	b.Helper()
	s, _ := tables.Load().Service("model")
	for i := range n {
		r := &dispatcher.Request{
			ID: identifier.RequestID(fmt.Sprint("r", i)), Customer: "c", Service: s, Kind: dispatcher.Stream{}, Method: http.MethodPost, Path: "/v1/completions",
			Body: []byte(`{"model":"model","prompt":"scene","max_tokens":100000,"stream":true}`), Deadline: time.Now().Add(time.Minute), Reconnectable: true,
		}
		ctx, cancel := context.WithCancel(context.Background())
		b.Cleanup(cancel)
		go func() { _ = d.Do(ctx, r, new(streamCaller)) }()
	}
	for {
		ready := 0
		for _, a := range d.Active() {
			if a.Events > 0 {
				ready++
			}
		}
		if ready == n {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
