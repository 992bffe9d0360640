package reducer

import (
	"encoding/json"
	"fmt"
	"testing"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
)

// fleetOf returns a fleet document with n backend servers, the first of which
// has the given concurrency.
func fleetOf(n, concurrency int) json.RawMessage {
	var f configurer.Fleet
	for i := range n {
		f.Defaults.BackendServers = append(f.Defaults.BackendServers, configurer.BackendServer{
			Name: identifier.BackendServer(fmt.Sprintf("worker-%05d", i)), Service: "brief-model", Version: "v1",
			FailureDomain: "riga-a", Address: fmt.Sprintf("10.0.%d.%d:9000", i/200, i%200), Concurrency: 8, Price: 1.25,
		})
	}
	f.Defaults.BackendServers[0].Concurrency = concurrency
	return f.Encode()
}

// nthChange returns a change of one field of a fleet with n backend servers.
func nthChange(i, n int) ChangeConfiguration {
	return ChangeConfiguration{
		ChangeID: identifier.ChangeID(fmt.Sprintf("c-%032x", i)), Base: identifier.Revision(i), Operator: "els",
		Reason: "more room for the call that closes at midnight", Document: fleetOf(n, 8+i%2), At: testStart,
	}
}

// stateAfter returns the state after the given number of changes to a fleet of
// n backend servers.
func stateAfter(changes, n int) *State {
	var s State
	for i := range changes {
		Reduce(&s, nthChange(i, n))
	}
	return &s
}

// BenchmarkApply measures one accepted change of the full document, including
// decoding, for different numbers of backend servers.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{14, 1000, 4000} {
		b.Run(fmt.Sprintf("backendServers=%d", n), func(b *testing.B) {
			var m Machine
			entries := make([][]byte, b.N)
			for i := range entries {
				var err error
				if entries[i], err = EncodeEvent(nthChange(i, n)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			b.ResetTimer()
			for _, entry := range entries {
				m.Apply(entry)
			}
			b.ReportMetric(float64(len(entries[0])), "logB/op")
		})
	}
}

// BenchmarkApplyException measures adding and removing one exception for
// different numbers of backend servers.
func BenchmarkApplyException(b *testing.B) {
	for _, n := range []int{14, 1000, 4000} {
		b.Run(fmt.Sprintf("backendServers=%d", n), func(b *testing.B) {
			s := stateAfter(1, n)
			for i := range b.N {
				base := identifier.Revision(2*i + 1)
				Reduce(s, AddException{ChangeID: identifier.ChangeID(fmt.Sprint(base)), Base: base, Exception: []byte(`{"name":"night"}`)})
				Reduce(s, RemoveException{ChangeID: identifier.ChangeID(fmt.Sprint(base + 1)), Base: base + 1, Name: "night"})
			}
		})
	}
}

// BenchmarkSnapshot and BenchmarkRestore measure different numbers of changes
// with a fleet of today's size, 14 backend servers.
func BenchmarkSnapshot(b *testing.B) {
	for _, changes := range []int{100, 2100, 14700} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			s := stateAfter(changes, 14)
			for b.Loop() {
				b.ReportMetric(float64(len(s.Snapshot())), "B")
			}
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	for _, changes := range []int{100, 2100, 14700} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			snapshot := stateAfter(changes, 14).Snapshot()
			for b.Loop() {
				if err := new(State).Restore(snapshot); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
