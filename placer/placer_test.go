package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// fleet is a set of hosts that place calls at the same engines. sync exchanges
// their loads.
type fleet struct {
	clock *timer.Manual
	hosts []*Placer
	ids   []identifier.BackendServer
}

// newFleet returns a fleet of hosts and engines.
func newFleet(hosts, engines int) *fleet {
	f := &fleet{clock: timer.NewManual(time.Unix(1000, 0))}
	var servers []Server
	for i := range engines {
		id := identifier.BackendServer(fmt.Sprint("e", i))
		f.ids = append(f.ids, id)
		servers = append(servers, Server{ID: id, Service: "model", Version: "v1", Engine: true, Slots: 64, Memory: 444000})
	}
	for i := range hosts {
		p := New(Options{Clock: f.clock, Random: rand.New(rand.NewPCG(uint64(i), 1))})
		p.Publish(servers)
		f.hosts = append(f.hosts, p)
	}
	return f
}

// sync reports to every host the load placed by the others.
func (f *fleet) sync() {
	total := f.total()
	for _, p := range f.hosts {
		others := make(map[identifier.BackendServer]Load)
		own := p.Loads()
		for id, l := range total {
			others[id] = l.Plus(own[id].times(-1))
		}
		p.SetRemoteLoads(others, len(f.hosts))
	}
}

// total returns the load that all hosts have placed.
func (f *fleet) total() map[identifier.BackendServer]Load {
	total := make(map[identifier.BackendServer]Load)
	for _, p := range f.hosts {
		for id, l := range p.Loads() {
			total[id] = total[id].Plus(l)
		}
	}
	return total
}

// longPrompt returns a request with a long prompt whose first two parts are
// shared by all prompts of the subject.
func longPrompt(subject string) Request {
	return Request{
		Service: "model", Version: "v1", Prompt: 12000, Output: 400,
		Parts: []describer.PromptPart{{ID: "kind", Tokens: 512}, {ID: identifier.PartID(subject), Tokens: 4870}, {ID: "own", Tokens: 6618}},
	}
}

// place places a call at a host and fails the test on an error.
func place(t *testing.T, p *Placer, r Request) *Choice {
	t.Helper()
	c, err := p.Choose(r)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestPromptsOfOneSubjectShareAServer checks that the prompts of a subject go
// to the same server while it is not busy, whichever host they arrive at.
func TestPromptsOfOneSubjectShareAServer(t *testing.T) {
	f := newFleet(8, 9)
	homes := make(map[string]identifier.BackendServer)
	for i := range 40 {
		subject := fmt.Sprint("subject-", i%10)
		c := place(t, f.hosts[i%8], longPrompt(subject))
		c.FirstContent()
		c.End(Succeeded)
		f.sync()
		if home, ok := homes[subject]; ok && home != c.Server {
			t.Errorf("%s goes to %s and then to %s", subject, home, c.Server)
		}
		homes[subject] = c.Server
	}
}

// TestHotSubjectIsSpread checks that no server gets more than twice its equal
// share of the calls when all traffic has the same subject.
func TestHotSubjectIsSpread(t *testing.T) {
	f := newFleet(8, 9)
	const calls = 180
	for i := range calls {
		place(t, f.hosts[i%8], longPrompt("hot"))
		if i%10 == 9 {
			f.sync()
			f.clock.Advance(50 * time.Millisecond)
		}
	}
	for id, l := range f.total() {
		if l.Running > 2*calls/9 {
			t.Errorf("%s runs %d of %d calls", id, l.Running, calls)
		}
	}
}

// TestStaleLoadsCauseNoHerding guards against all hosts choosing the same
// server: they place calls from the same stale report, in which one server is
// idle and the others are busy.
func TestStaleLoadsCauseNoHerding(t *testing.T) {
	f := newFleet(8, 9)
	others := make(map[identifier.BackendServer]Load)
	for _, id := range f.ids[1:] {
		others[id] = Load{Running: 6, Context: 60000}
	}
	for _, p := range f.hosts {
		p.SetRemoteLoads(others, len(f.hosts))
	}
	for i := range 64 {
		place(t, f.hosts[i%8], Request{Service: "model", Version: "v1", Prompt: 1800, Output: 30})
	}
	if n := f.total()[f.ids[0]].Running; n > 24 {
		t.Errorf("the idle server gets %d of 64 calls", n)
	}
}

// TestFailingServerIsAvoidedAndRetried checks a server whose calls fail and
// one that refuses connections.
func TestFailingServerIsAvoidedAndRetried(t *testing.T) {
	for _, o := range []Outcome{Failed, Unreachable} {
		f := newFleet(1, 3)
		p := f.hosts[0]
		failing := place(t, p, longPrompt("a"))
		failing.End(o)
		for range 8 {
			c := place(t, p, longPrompt("a"))
			if c.Server == failing.Server {
				c.End(o)
				if o == Unreachable {
					t.Errorf("outcome %d: the server is chosen again immediately", o)
				}
				continue
			}
			c.FirstContent()
			c.End(Succeeded)
		}
		f.clock.Advance(time.Minute)
		if c := place(t, p, longPrompt("a")); c.Server != failing.Server {
			t.Errorf("outcome %d: the home server of the prompt is still avoided after a minute", o)
		}
	}
}

func TestLeavingServersGetNoCalls(t *testing.T) {
	f := newFleet(1, 2)
	f.hosts[0].Publish([]Server{
		{ID: "e0", Service: "model", Version: "v1", Engine: true, Slots: 64, Leaving: true},
		{ID: "e1", Service: "model", Version: "v1", Engine: true, Slots: 64},
	})
	for range 20 {
		if c := place(t, f.hosts[0], longPrompt("a")); c.Server != "e1" {
			t.Fatalf("%s is chosen", c.Server)
		}
	}
	r := longPrompt("a")
	r.Exclude = []identifier.BackendServer{"e1"}
	if _, err := f.hosts[0].Choose(r); err == nil {
		t.Error("a leaving server is chosen when no other is left")
	}
}

// TestPartitionedDomainIsAvoided checks that during a partition, after two
// servers of a domain were unreachable, the others of the domain are not tried
// in turn, and that calls go there again after the partition.
func TestPartitionedDomainIsAvoided(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	p := New(Options{Clock: clock})
	var servers []Server
	for i := range 6 {
		domain := identifier.FailureDomain("near")
		if i%2 == 1 {
			domain = "far"
		}
		servers = append(servers, Server{ID: identifier.BackendServer(fmt.Sprint("s", i)), Service: "cases", Version: "v1", FailureDomain: domain, Slots: 6})
	}
	p.Publish(servers)
	tried := 0
	for range 20 {
		c, err := p.Choose(Request{Service: "cases", Version: "v1"})
		if err != nil {
			t.Fatal(err)
		}
		if c.state.FailureDomain == "far" {
			tried++
			c.End(Unreachable)
			continue
		}
		c.FirstContent()
	}
	if tried != 2 {
		t.Errorf("%d servers of the cut-off domain were tried, want 2", tried)
	}
	clock.Advance(time.Minute)
	far := 0
	for range 20 {
		c, err := p.Choose(Request{Service: "cases", Version: "v1"})
		if err != nil {
			t.Fatal(err)
		}
		if c.state.FailureDomain == "far" {
			far++
		}
		c.FirstContent()
	}
	if far < 5 {
		t.Errorf("after the partition %d of 20 calls go to the domain", far)
	}
}

// TestUnresponsiveServerIsAvoided checks a server that accepts connections but
// does not answer: only early calls go there, even if it is the home server of
// their prompts, and it is chosen again once it answers.
func TestUnresponsiveServerIsAvoided(t *testing.T) {
	f := newFleet(1, 4)
	p := f.hosts[0]
	unresponsive := place(t, p, longPrompt("a"))
	var unanswered []*Choice
	for range 50 {
		f.clock.Advance(100 * time.Millisecond)
		c := place(t, p, longPrompt("a"))
		if c.Server == unresponsive.Server {
			unanswered = append(unanswered, c)
			continue
		}
		c.FirstContent()
		c.End(Succeeded)
	}
	if len(unanswered) > 12 {
		t.Errorf("%d of 50 calls went to a server that does not answer", len(unanswered))
	}
	unresponsive.FirstContent()
	for _, c := range append(unanswered, unresponsive) {
		c.End(Cancelled)
	}
	f.clock.Advance(time.Minute)
	if c := place(t, p, longPrompt("a")); c.Server != unresponsive.Server {
		t.Error("the server is not chosen again although it answers")
	}
}

// TestNewServerCausesNoHerding guards against many hosts of a large fleet
// placing most calls of one stale report at a server that has just started.
func TestNewServerCausesNoHerding(t *testing.T) {
	const hosts, engines, calls = 69, 60, 276
	f := newFleet(hosts, engines)
	others := make(map[identifier.BackendServer]Load)
	for _, id := range f.ids[1:] {
		others[id] = Load{Running: 12, Context: 60000}
	}
	for _, p := range f.hosts {
		p.SetRemoteLoads(others, hosts)
	}
	for i := range calls {
		place(t, f.hosts[i%hosts], Request{Service: "model", Version: "v1", Prompt: 1800, Output: 30})
	}
	if n := f.total()[f.ids[0]].Running; n > 40 {
		t.Errorf("the new server gets %d of %d calls", n, calls)
	}
}
