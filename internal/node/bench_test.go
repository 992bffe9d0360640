package node

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/sharer"
)

// The size of the fleet in BenchmarkSync.
const (
	benchHosts       = 300
	benchServers     = 3000
	benchCustomers   = 16
	benchBusyServers = 20 // backend servers at which one host has running calls
)

// BenchmarkSync measures a sync between one of many hosts and the leader over
// loopback, including the work of both sides.
func BenchmarkSync(b *testing.B) {
	s := &system{t: b, port: 23456, api: "127.0.0.1:1", folder: b.TempDir(), seeds: []string{keeperA + ":23457"}}
	cfg := s.settings(keeperA, true)
	cfg.LostMachines = 0
	n := newKeeperNode(cfg, Options{Log: slog.New(slog.DiscardHandler)})
	ln, err := listen(b.Context(), n.log, listenSetting{"internalPorts", cfg.PeerAddress(cfg.Host)})
	if err != nil {
		b.Fatal(err)
	}
	if err := n.keeper.Open(); err != nil {
		b.Fatal(err)
	}
	go func() { _ = n.messenger.Serve(ln) }()
	defer n.messenger.Close()
	for !n.holdsLease() {
		time.Sleep(time.Millisecond)
	}
	rates := make(map[identifier.Customer]sharer.Rate)
	for c := range benchCustomers {
		rates[identifier.Customer(fmt.Sprint("customer", c))] = sharer.Rate{PerSecond: 1000, Burst: 1000}
	}
	n.divider.Configure(rates)
	client := messenger.New(messenger.Options{Host: "client"})
	defer client.Close()
	requests := benchRequests(n.clock.Now(), cfg.Bounds.Window)
	i := 0
	for b.Loop() {
		var resp wire.SyncResponse
		if err := client.Call(context.Background(), cfg.PeerAddress(cfg.Host), syncMethod, requests[i%benchHosts], &resp); err != nil {
			b.Fatal(err)
		}
		i++
	}
}

// benchRequests returns one sync request for each host.
func benchRequests(now time.Time, window time.Duration) []*wire.SyncRequest {
	var out []*wire.SyncRequest
	for h := range benchHosts {
		r := &wire.SyncRequest{Host: fmt.Sprint("host", h), Run: 1, Use: make(map[string]*wire.Use), Loads: make(map[string]*wire.ServerLoad)}
		counts := make(describer.Counts)
		for c := range benchCustomers {
			name := fmt.Sprint("customer", c)
			r.Use[name], counts[identifier.Customer(name)] = &wire.Use{Asked: 10, Taken: 5}, 10
		}
		for i := range benchBusyServers {
			r.Loads[fmt.Sprint("server", (h*31+i*7919)%benchServers)] = &wire.ServerLoad{Running: 1, Unread: 100, Context: 1000}
		}
		for k := range describer.Window(6) {
			r.Windows = append(r.Windows, encodeWindow(describer.WindowAt(now, window)-k, counts))
		}
		out = append(out, r)
	}
	return out
}
