package configurer

import (
	"fmt"
	"testing"
	"time"

	"cyclamenhub.org/identifier"
)

// fleetOf returns a fleet with n backend servers.
func fleetOf(n int) *Fleet {
	f := &Fleet{Defaults: Defaults{
		Services: []Service{{Name: "brief-model", Kind: ModelService, Version: "v1",
			FirstTokenTarget: Duration(740 * time.Millisecond), BetweenTokensTarget: Duration(30 * time.Millisecond),
			Deadline: Duration(30 * time.Second)}},
		Limits: Limits{BodyBytes: 1 << 20, QueuedRequests: 1000, RetryShare: 0.1, ClaimHorizon: Duration(24 * time.Hour)},
	}}
	for i := range n {
		f.Defaults.BackendServers = append(f.Defaults.BackendServers, BackendServer{
			Name: identifier.BackendServer(fmt.Sprintf("worker-%05d", i)), Service: "brief-model", Version: "v1",
			FailureDomain: "riga-a", Address: fmt.Sprintf("10.0.%d.%d:9000", i/200, i%200), Concurrency: 8, Price: 1.25,
		})
	}
	return f
}

func BenchmarkDecodeFleet(b *testing.B) {
	for _, n := range []int{14, 1000, 4000} {
		b.Run(fmt.Sprintf("backendServers=%d", n), func(b *testing.B) {
			document := fleetOf(n).Encode()
			b.SetBytes(int64(len(document)))
			for b.Loop() {
				if _, err := DecodeFleet(document); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkLoadFleet(b *testing.B) {
	for _, n := range []int{14, 1000, 4000} {
		b.Run(fmt.Sprintf("backendServers=%d", n), func(b *testing.B) {
			document := fleetOf(n).Encode()
			b.SetBytes(int64(len(document)))
			for b.Loop() {
				if _, err := LoadFleet(document); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkDiff(b *testing.B) {
	for _, n := range []int{14, 1000, 4000} {
		b.Run(fmt.Sprintf("backendServers=%d", n), func(b *testing.B) {
			f := fleetOf(n)
			before := f.Encode()
			f.Defaults.BackendServers[0].Concurrency = 9
			after := f.Encode()
			for b.Loop() {
				if len(Diff(before, after)) != 1 {
					b.Fatal("no difference")
				}
			}
		})
	}
}
