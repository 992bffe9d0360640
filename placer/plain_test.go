package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// plainPool is a host that calls idle servers of a plain service, one call at a time.
type plainPool struct {
	t     *testing.T
	clock *timer.Manual
	p     *Placer
	// takes is how long a call takes at each server.
	takes map[identifier.BackendServer]time.Duration
}

// newPlainPool returns a pool of servers with the given times of a call.
func newPlainPool(t *testing.T, takes ...time.Duration) *plainPool {
	f := &plainPool{t: t, clock: timer.NewManual(time.Unix(1000, 0)), takes: make(map[identifier.BackendServer]time.Duration)}
	f.p = New(Options{Clock: f.clock, Random: rand.New(rand.NewPCG(1, 1))})
	f.publish(takes...)
	return f
}

// publish lists servers with the given times of a call.
func (f *plainPool) publish(takes ...time.Duration) {
	var servers []Server
	for i, d := range takes {
		id := identifier.BackendServer(fmt.Sprint("s", i))
		f.takes[id] = d
		servers = append(servers, Server{ID: id, Service: "cases", Version: "v1", Slots: 6})
	}
	f.p.Publish(servers)
}

// call plays a call that excludes some servers and returns its server and time.
func (f *plainPool) call(exclude ...identifier.BackendServer) (identifier.BackendServer, time.Duration) {
	f.t.Helper()
	c := place(f.t, f.p, Request{Service: "cases", Version: "v1", Exclude: exclude})
	took := f.takes[c.Server]
	f.clock.Advance(took)
	c.FirstContent()
	c.End(Succeeded)
	return c.Server, took
}

// TestNewPlainServerTakesLoad guards against a server that is left idle while calls
// queue at others, since no call was measured there.
func TestNewPlainServerTakesLoad(t *testing.T) {
	const usual = 5 * time.Millisecond
	f := newPlainPool(t, usual, usual)
	f.call("s0")
	f.call("s1")
	for range 14 {
		place(t, f.p, Request{Service: "cases", Version: "v1"})
	}
	f.publish(usual, usual, usual)
	if c := place(t, f.p, Request{Service: "cases", Version: "v1"}); c.Server != "s2" {
		t.Errorf("a call goes to %s, where others wait, instead of to the new server", c.Server)
	}
}
