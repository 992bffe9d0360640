package node

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform/standin"
)

// What the users allow: once fatalCrashes backend servers have ended under calls
// with one part in their prompts, and contactTime has passed, at most
// fatalArrivals more such calls reach backend servers.
const (
	fatalCrashes  = 5
	fatalArrivals = 3
	contactTime   = 3 * time.Second
)

// fatalPart is the part of a prompt that ends the backend servers of a
// fatalSystem.
const fatalPart = "bad0"

// fatalSystem is a system whose backend servers end on fatal calls.
type fatalSystem struct {
	*system
	servers []*standin.CrashingServer
	entries []string
	calls   atomic.Int64
}

// newFatalSystem starts keepers, entry hosts and backend servers that end on fatal
// calls and stay away for downFor, and waits until the entry hosts are ready.
func newFatalSystem(t *testing.T, servers int, fatal func(*http.Request) bool, downFor time.Duration) *fatalSystem {
	s := &fatalSystem{system: newSystem(t)}
	s.cloud.Servers = nil
	for range servers {
		server, err := standin.NewCrashingServer(&standin.Backends{Delay: 10 * time.Millisecond}, fatal, downFor)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		s.servers = append(s.servers, server)
		s.cloud.Servers = append(s.cloud.Servers, server.Address())
	}
	s.cloud.Born = func(i int) time.Time { return s.servers[i].Born() }
	for i := range 3 {
		s.entries = append(s.entries, fmt.Sprint("127.7.0.", 4+i))
	}
	s.startKeepers(true)
	s.put(keeperA, standin.Document(1, `["k1"]`))
	s.startEntries()
	return s
}

// startEntries starts the entry hosts and waits until they are ready.
func (s *fatalSystem) startEntries() {
	for _, ip := range s.entries {
		s.start(ip, RunEntry, false)
	}
	for _, ip := range s.entries {
		s.awaitReady(ip)
	}
}

// callWith makes a call with the given shared parts in its prompt and returns
// its status.
func (s *fatalSystem) callWith(ip string, shared ...string) int {
	n := s.calls.Add(1)
	id := identifier.RequestID(fmt.Sprint("id-", n))
	h := standin.PromptHeader(id, "k1", 5*time.Second, append(shared, fmt.Sprintf("e%x", n))...)
	status, _ := s.request(http.MethodPost, ip, standin.FrontendPort, "/draft/1", "x", h)
	return status
}

// crashes returns when servers ended, and arrivals when fatal calls reached them,
// both in order.
func (s *fatalSystem) crashes() []time.Time {
	return s.times((*standin.CrashingServer).Crashes)
}

func (s *fatalSystem) arrivals() []time.Time {
	return s.times((*standin.CrashingServer).FatalArrivals)
}

// times returns the sorted times of all servers.
func (s *fatalSystem) times(of func(*standin.CrashingServer) []time.Time) []time.Time {
	var out []time.Time
	for _, server := range s.servers {
		out = append(out, of(server)...)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// lateArrivals returns the number of fatal calls that reached servers later than
// contactTime after the given number of crashes.
func (s *fatalSystem) lateArrivals(number int) int {
	crashes := s.crashes()
	if len(crashes) < number {
		return 0
	}
	late := 0
	for _, at := range s.arrivals() {
		if at.Sub(crashes[number-1]) > contactTime {
			late++
		}
	}
	return late
}

// fatalPlay is a play of sound and fatal calls at all entry hosts of a fatalSystem.
type fatalPlay struct {
	// sound and fatal make call n of the i-th host and return its status.
	sound, fatal           func(i, n int, ip string) int
	soundPause, fatalPause time.Duration
	// crashes is how many servers may end before the calls count as known to be fatal,
	// and leastCrashes how many must end for the play to show anything.
	crashes, leastCrashes int
	// Sound calls are counted from settled until length.
	settled, length time.Duration
}

// check plays p, and fatal calls again after a restart of all processes. It checks
// that fatal calls stop in time, are refused after the restart, and that sound calls
// are served again.
func (p *fatalPlay) check(t *testing.T, s *fatalSystem) {
	t.Helper()
	sent, served := p.run(s)
	t.Logf("%d servers ended, %d fatal calls arrived, %d of %d sound calls served", len(s.crashes()), len(s.arrivals()), served, sent)
	if n := len(s.crashes()); n < p.leastCrashes {
		t.Fatalf("%d servers ended, want %d", n, p.leastCrashes)
	}
	if n := s.lateArrivals(p.crashes); n > fatalArrivals {
		t.Errorf("%d fatal calls reached servers after %d had ended, and %d ended in all; %d calls are allowed",
			n, p.crashes, len(s.crashes()), fatalArrivals)
	}
	if served < sent*9/10 {
		t.Errorf("%d of %d sound calls were served", served, sent)
	}

	for _, ip := range slices.Concat(s.entries, []string{keeperA, keeperB, keeperC}) {
		s.end(ip)
	}
	before := len(s.arrivals())
	s.startKeepers(false)
	s.startEntries()
	for n := range 3 * p.crashes {
		p.fatal(n%len(s.entries), n, s.entries[n%len(s.entries)])
	}
	if n := len(s.arrivals()) - before; n > fatalArrivals {
		t.Errorf("%d fatal calls reached servers after a restart of all processes, at most %d are allowed", n, fatalArrivals)
	}
}

// run makes the calls and returns how many sound ones were counted, and how many of
// them were served.
func (p *fatalPlay) run(s *fatalSystem) (sent, served int64) {
	start := time.Now()
	var sentCalls, servedCalls atomic.Int64
	var wg sync.WaitGroup
	for i, ip := range s.entries {
		wg.Go(func() {
			for n := 0; time.Since(start) < p.length; n++ {
				status := p.sound(i, n, ip)
				if time.Since(start) > p.settled {
					sentCalls.Add(1)
					if status == http.StatusOK {
						servedCalls.Add(1)
					}
				}
				time.Sleep(p.soundPause)
			}
		})
		wg.Go(func() {
			for n := 0; time.Since(start) < p.length; n++ {
				p.fatal(i, n, ip)
				time.Sleep(p.fatalPause)
			}
		})
	}
	wg.Wait()
	return sentCalls.Load(), servedCalls.Load()
}

// TestPartThatEndsServersIsIsolated guards against calls with one part in their
// prompts that end server after server. Sound calls with the same first part are
// served again, and the part stays isolated after a restart of all processes.
func TestPartThatEndsServersIsIsolated(t *testing.T) {
	s := newFatalSystem(t, 6, standin.HasPart(fatalPart), 700*time.Millisecond)
	p := &fatalPlay{
		sound:      func(i, _ int, ip string) int { return s.callWith(ip, "f1", fmt.Sprint("c", i)) },
		fatal:      func(i, n int, ip string) int { return s.callWith(ip, "f1", fatalPart, fmt.Sprint("c", (i+n)%3)) },
		soundPause: 40 * time.Millisecond, fatalPause: 150 * time.Millisecond,
		crashes: fatalCrashes, leastCrashes: 1, settled: 6 * time.Second, length: 8 * time.Second,
	}
	p.check(t, s)
}

// TestRequestThatEndsServersIsIsolated guards against one request, repeated at all
// hosts and by them, that ends all few servers of a service within a second, so that
// no other call survives meanwhile. Other calls are served again, and the request
// stays isolated after a restart of all processes.
func TestRequestThatEndsServersIsIsolated(t *testing.T) {
	const path = "/look/fatal"
	s := newFatalSystem(t, 4, func(r *http.Request) bool { return r.URL.Path == path }, 1500*time.Millisecond)
	call := func(ip, path string) int {
		id := identifier.RequestID(fmt.Sprint("id-", s.calls.Add(1)))
		status, _ := s.request(http.MethodPost, ip, standin.FrontendPort, path, "x", standin.PromptHeader(id, "k1", 5*time.Second, "e1"))
		return status
	}
	p := &fatalPlay{
		sound:      func(_, _ int, ip string) int { return call(ip, "/look/sound") },
		fatal:      func(_, _ int, ip string) int { return call(ip, path) },
		soundPause: 50 * time.Millisecond, fatalPause: 300 * time.Millisecond,
		crashes: 3, leastCrashes: 3, settled: 6 * time.Second, length: 9 * time.Second,
	}
	p.check(t, s)
}
