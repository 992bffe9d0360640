package router

import (
	"errors"
	"fmt"
	"math"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// epoch is the start time of the tests' clocks.
var epoch = time.Date(2026, 3, 1, 22, 0, 0, 0, time.UTC)

// newRouter returns a router in failure domain "a" and its clock.
func newRouter(candidates ...Candidate) (*Router, *timer.Manual) {
	clock := timer.NewManual(epoch)
	r := New(Config{Clock: clock, Random: NewSeeded(1), FailureDomain: "a"})
	r.Publish(&Table{Candidates: candidates})
	return r, clock
}

// candidate returns a live server of service s, version 1.
func candidate(name, domain string, price float64) Candidate {
	return Candidate{
		BackendServer: identifier.BackendServer(name), Service: "s", Version: "1",
		FailureDomain: identifier.FailureDomain(domain), Concurrency: 4, Price: price, PrefillRate: 1000,
	}
}

// request returns a request whose prompt consists of the texts group and own,
// four blocks each.
func request(group, own string) Request {
	prompt := []byte(fmt.Sprintf("%-2048s%-2048s", group, own))
	return Request{Service: "s", Version: "1", PrefixBlocks: Blocks(nil, prompt), PromptTokens: 100}
}

func mustChoose(t *testing.T, r *Router, req Request) Choice {
	t.Helper()
	c, err := r.Choose(req)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestChooseOrdersGroups(t *testing.T) {
	r, _ := newRouter(
		candidate("far", "b", 0.1), candidate("expensive", "a", 2), candidate("cheap", "a", 1))
	// Each server has 4 slots. A request beyond them would wait longer than the
	// target allows, so the servers fill up in the order of the groups.
	var got []identifier.BackendServer
	for range 12 {
		c := mustChoose(t, r, Request{Service: "s", Version: "1", PromptTokens: 1})
		got = append(got, c.BackendServer)
	}
	want := []identifier.BackendServer{
		"cheap", "cheap", "cheap", "cheap", "expensive", "expensive", "expensive", "expensive", "far", "far", "far", "far"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("choices (-want +got):\n%s", diff)
	}
}

func TestReleaseReturnsAllLoad(t *testing.T) {
	r, _ := newRouter(candidate("w1", "a", 1))
	c := mustChoose(t, r, request("x", "y"))
	s := r.serverByName("w1")
	if s.inFlight.Load() != 1 || s.pendingTokens.Load() == 0 {
		t.Fatalf("the load after a choice is %d requests and %d tokens", s.inFlight.Load(), s.pendingTokens.Load())
	}
	c.FirstToken()
	c.FirstToken()
	c.Release(Succeeded)
	c.Release(Failed)
	got := []int64{s.inFlight.Load(), s.pendingTokens.Load()}
	if diff := cmp.Diff([]int64{0, 0}, got); diff != "" {
		t.Errorf("load after release (-want +got):\n%s", diff)
	}
}

func TestRefusalMakesServerSuspectForATime(t *testing.T) {
	r, clock := newRouter(candidate("w1", "a", 1), candidate("w2", "a", 2))
	c := mustChoose(t, r, request("x", "y"))
	if c.BackendServer != "w1" {
		t.Fatalf("chose %s, want the cheaper w1", c.BackendServer)
	}
	c.Release(Refused)
	if c := mustChoose(t, r, request("x", "y")); c.BackendServer != "w2" {
		t.Errorf("chose %s after w1 refused, want w2", c.BackendServer)
	}
	clock.Advance(minSuspicion)
	if c := mustChoose(t, r, request("x", "y")); c.BackendServer != "w1" {
		t.Errorf("chose %s after its suspicion ended, want w1", c.BackendServer)
	}
}

func TestNoServerErrorCounts(t *testing.T) {
	r, _ := newRouter(candidate("w1", "a", 1), candidate("w2", "a", 1))
	r.Observe(Leaving{BackendServer: "w1"})
	req := request("x", "y")
	req.Exclude = []identifier.BackendServer{"w2"}
	_, err := r.Choose(req)
	var got *NoServerError
	if !errors.As(err, &got) {
		t.Fatalf("got error %v, want a *NoServerError", err)
	}
	want := &NoServerError{Service: "s", Version: "1", Listed: 2, Gone: 1, Excluded: 1}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("error (-want +got):\n%s", diff)
	}
}

func TestNewIncarnationEndsNotice(t *testing.T) {
	r, _ := newRouter(candidate("w1", "a", 1))
	r.Observe(Leaving{BackendServer: "w1"})
	// The outdated table still lists the same incarnation as live.
	r.Publish(&Table{Candidates: []Candidate{candidate("w1", "a", 1)}})
	if _, err := r.Choose(request("x", "y")); err == nil {
		t.Error("chose a leaving server after an outdated table was published")
	}
	again := candidate("w1", "a", 1)
	again.Incarnation = 1
	r.Publish(&Table{Candidates: []Candidate{again}})
	mustChoose(t, r, request("x", "y"))
}

func TestRoutersAgreeOnPrefix(t *testing.T) {
	var servers []Candidate
	for i := range 8 {
		servers = append(servers, candidate(fmt.Sprintf("w%d", i), "a", 1))
	}
	r1, _ := newRouter(servers...)
	r2, _ := newRouter(servers...)
	for i := range 50 {
		req := request(fmt.Sprint("guide", i), "own")
		c1, c2 := mustChoose(t, r1, req), mustChoose(t, r2, req)
		if c1.BackendServer != c2.BackendServer {
			t.Errorf("routers chose different servers for prefix %d: %s and %s", i, c1.BackendServer, c2.BackendServer)
		}
		c1.Release(Succeeded)
		c2.Release(Succeeded)
	}
}

// TestPropertyLeavingNeverChosen runs random sequences of choices, leaving
// notices, load reports and outdated tables against a router. A server must not
// be chosen after its notice.
func TestPropertyLeavingNeverChosen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []Candidate
		for i := range rapid.IntRange(1, 6).Draw(t, "servers") {
			servers = append(servers, candidate(fmt.Sprintf("w%d", i), string(rune('a'+i%3)), 1))
		}
		r, clock := newRouter(servers...)
		left := make(map[identifier.BackendServer]bool)
		var held []*Choice
		t.Repeat(map[string]func(*rapid.T){
			"leave": func(t *rapid.T) {
				s := rapid.SampledFrom(servers).Draw(t, "server").BackendServer
				r.Observe(Leaving{BackendServer: s})
				left[s] = true
			},
			"stale table": func(*rapid.T) { r.Publish(&Table{Candidates: servers}) },
			"time":        func(*rapid.T) { clock.Advance(time.Second) },
			"report as idle": func(t *rapid.T) {
				r.Observe(LoadReport{BackendServer: rapid.SampledFrom(servers).Draw(t, "server").BackendServer})
			},
			"choose": func(t *rapid.T) {
				c, err := r.Choose(request(rapid.StringOfN(rapid.RuneFrom([]rune("xyz")), 1, 1, -1).Draw(t, "prefix"), "own"))
				if err != nil {
					if len(left) < len(servers) {
						t.Fatalf("%v, although %d of %d servers are not leaving", err, len(servers)-len(left), len(servers))
					}
					return
				}
				if left[c.BackendServer] {
					t.Fatalf("chose %s, which is leaving", c.BackendServer)
				}
				held = append(held, &c)
			},
			"release": func(t *rapid.T) {
				if len(held) == 0 {
					return
				}
				i := rapid.IntRange(0, len(held)-1).Draw(t, "choice")
				held[i].Release(Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")))
				held = append(held[:i], held[i+1:]...)
			},
		})
	})
}

// TestPropertyBoundedLoad checks that prefix routing never puts a server above
// the load bound while load reports cover all servers, whatever the prefixes
// are.
func TestPropertyBoundedLoad(t *testing.T) {
	const slots = 4
	rapid.Check(t, func(t *rapid.T) {
		var servers []Candidate
		for i := range rapid.IntRange(2, 8).Draw(t, "servers") {
			servers = append(servers, candidate(fmt.Sprintf("w%d", i), "a", 1))
		}
		r, _ := newRouter(servers...)
		load := make(map[identifier.BackendServer]int)
		total := 0
		for _, s := range servers {
			others := rapid.IntRange(0, 10).Draw(t, "others")
			r.Observe(LoadReport{BackendServer: s.BackendServer, Running: others})
			load[s.BackendServer] = others
			total += others
		}
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			c, err := r.Choose(request(rapid.SampledFrom([]string{"hot", "hot", "cold"}).Draw(t, "guide"), rapid.StringN(1, 2, -1).Draw(t, "own")))
			if err != nil {
				t.Fatal(err)
			}
			load[c.BackendServer]++
			total++
			mean := float64(total) / float64(len(servers))
			limit := max(int(math.Ceil(defaultLoadBound*mean)), freeSlotFraction*slots)
			if load[c.BackendServer] > limit {
				t.Fatalf("%s has %d requests, want at most %d with %d on %d servers", c.BackendServer, load[c.BackendServer], limit, total, len(servers))
			}
		}
	})
}

func TestDomainServesAloneDuringPartition(t *testing.T) {
	r, clock := newRouter(candidate("a1", "a", 1), candidate("a2", "a", 1), candidate("b1", "b", 1), candidate("b2", "b", 1))
	refused := 0
	for i := range 200 {
		c := mustChoose(t, r, request(fmt.Sprint("guide", i%8), fmt.Sprint(i)))
		if c.FailureDomain == "b" {
			refused++
			c.Release(Refused)
			continue
		}
		c.Release(Succeeded)
		clock.Advance(50 * time.Millisecond)
	}
	// Each server is retried after 1, 2, 4 s and so on: in 10 s at most four
	// times.
	if refused == 0 || refused > 2*4 {
		t.Errorf("%d of 200 attempts went to the unreachable domain, want 1 to 8", refused)
	}
}

// TestConcurrentUse runs choices, events and table updates concurrently for the
// race detector. It also checks that no load remains after all choices are
// released.
func TestConcurrentUse(t *testing.T) {
	var servers []Candidate
	for i := range 6 {
		servers = append(servers, candidate(fmt.Sprintf("w%d", i), string(rune('a'+i%2)), 1))
	}
	r, _ := newRouter(servers...)
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 300 {
				c, err := r.Choose(request(fmt.Sprint("guide", i%5), fmt.Sprint(g, i)))
				if err != nil {
					t.Error(err)
					return
				}
				c.FirstToken()
				r.Observe(LoadReport{BackendServer: c.BackendServer, Running: i % 4})
				r.Observe(CacheEvent{BackendServer: c.BackendServer, Evicted: []Block{Block(i)}})
				if i%50 == 0 {
					r.Publish(&Table{Candidates: servers})
				}
				c.Release(Outcome(i % 2))
			}
		})
	}
	wg.Wait()
	for _, s := range servers {
		if state := r.serverByName(s.BackendServer); state.inFlight.Load() != 0 || state.pendingTokens.Load() != 0 {
			t.Errorf("%s still has %d requests and %d tokens after all releases", s.BackendServer, state.inFlight.Load(), state.pendingTokens.Load())
		}
	}
}

// TestPrefixesLeaveNearlyFullGroup checks that requests with a prefix move from
// a nearly full cheap group to a more expensive one before any request waits,
// but only if load reports cover the latter.
func TestPrefixesLeaveNearlyFullGroup(t *testing.T) {
	for _, known := range []bool{true, false} {
		r, _ := newRouter(candidate("cheap", "a", 1), candidate("expensive", "a", 2))
		r.Observe(LoadReport{BackendServer: "cheap"})
		if known {
			r.Observe(LoadReport{BackendServer: "expensive"})
		}
		var got []identifier.BackendServer
		for i := range 4 {
			c := mustChoose(t, r, request("guide", fmt.Sprint(i)))
			c.FirstToken()
			got = append(got, c.BackendServer)
		}
		want := []identifier.BackendServer{"cheap", "cheap", "cheap", "cheap"}
		if known {
			want[3] = "expensive"
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("choices with the load of server expensive known %v (-want +got):\n%s", known, diff)
		}
	}
}
