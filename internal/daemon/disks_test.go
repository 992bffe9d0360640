package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"cyclamenhub.org/claimer"
	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/recorder/standin"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/timer"
)

// trio is three daemons, each a keeper with a disk of its own.
type trio struct {
	t       *testing.T
	daemons []*Daemon
	disks   []*standin.Disk
}

// startTrio starts three daemons on loopback addresses.
func startTrio(t *testing.T) *trio {
	t.Helper()
	g := &trio{t: t}
	var names []identifier.Host
	var hosts []configurer.HostAddress
	for i := range 3 {
		name := identifier.Host(fmt.Sprintf("h%d", i+1))
		names = append(names, name)
		hosts = append(hosts, configurer.HostAddress{Name: name, FailureDomain: "a", Address: freeAddress(t)})
	}
	for i, name := range names {
		disk := standin.NewDisk()
		d, err := New(&configurer.Settings{
			Host: name, FailureDomain: "a", DataFolder: t.TempDir(), Keepers: names, Hosts: hosts,
			Callers:   configurer.CallerSettings{Listen: "127.0.0.1:0"},
			Operators: configurer.OperatorSettings{Listen: "127.0.0.1:0"},
		}, Options{Log: slog.New(slog.DiscardHandler), Files: disk})
		if err != nil {
			t.Fatalf("daemon %d: %v", i, err)
		}
		g.daemons, g.disks = append(g.daemons, d), append(g.disks, disk)
		g.run(d)
	}
	return g
}

// run runs a daemon until the test ends.
func (g *trio) run(d *Daemon) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	g.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			g.t.Errorf("daemon ended with %v", err)
		}
	})
}

// freeAddress returns a loopback address that is free.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }() // nothing was accepted
	return ln.Addr().String()
}

// awaitLimit bounds the wait for a condition. It is far longer than an election and
// the opening of a replica.
const awaitLimit = time.Minute

// await waits until a condition holds.
func (g *trio) await(what string, ok func() bool) {
	g.t.Helper()
	ctx, cancel := context.WithTimeout(g.t.Context(), awaitLimit)
	defer cancel()
	for !ok() {
		if !timer.Sleep(ctx, 10*time.Millisecond) {
			g.t.Fatal("condition does not hold: " + what)
		}
	}
}

// change tries once to change the configuration through a daemon. Like an operator, it
// reads the revision first. It reports whether the change was acknowledged.
func (g *trio) change(d *Daemon) bool {
	ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
	defer cancel()
	v, err := d.control.Head(ctx)
	if err != nil {
		return false
	}
	out, err := d.control.Propose(ctx, reducer.ChangeConfiguration{
		ChangeID: identifier.NewChangeID(), Base: v.Revision, Operator: "ana", Document: fleetDocument(), At: time.Now(),
	})
	return err == nil && out.Err() == nil
}

// claim tries once to append an entry to the claim group through a daemon.
func (g *trio) claim(d *Daemon) bool {
	ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
	defer cancel()
	entry, err := claimer.EncodeEvent(claimer.SetBounds{})
	if err != nil {
		g.t.Fatal(err)
	}
	_, err = d.claims.Propose(ctx, 0, entry)
	return err == nil
}

// revision returns the revision that a daemon reads, once it can.
func (g *trio) revision(d *Daemon) identifier.Revision {
	g.t.Helper()
	var r identifier.Revision
	g.await("configuration is read", func() bool {
		ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
		defer cancel()
		v, err := d.control.Head(ctx)
		r = v.Revision
		return err == nil
	})
	return r
}

// fleetDocument returns an empty fleet document.
func fleetDocument() []byte {
	return (&configurer.Fleet{Defaults: configurer.Defaults{Limits: configurer.Limits{
		BodyBytes: 1, QueuedRequests: 1, ClaimHorizon: configurer.Duration(time.Hour),
	}}}).Encode()
}

// TestChangesGoOnAfterDisksWereFullInTurn guards against changes and claims being
// refused for good after the disks of the keepers were full one after another.
func TestChangesGoOnAfterDisksWereFullInTurn(t *testing.T) {
	g := startTrio(t)
	g.await("the group accepts changes and claims", func() bool { return g.change(g.daemons[0]) && g.claim(g.daemons[0]) })
	acknowledged := g.revision(g.daemons[0])
	for i, disk := range g.disks {
		other := g.daemons[(i+1)%len(g.daemons)]
		disk.Fill(standin.Everything, 0)
		for _, group := range []string{"group-0", "group-1"} {
			folder := filepath.Join(g.daemons[i].cfg.DataFolder, group)
			g.await("the full disk refuses a write in "+group, func() bool {
				if g.change(other) {
					acknowledged++
				}
				g.claim(other)
				return disk.Refused(folder) > 0
			})
		}
		disk.Free()
		g.await(fmt.Sprintf("a change is acknowledged after the disk of daemon %d was full", i), func() bool { return g.change(other) })
		acknowledged++
		g.await(fmt.Sprintf("a claim is accepted after the disk of daemon %d was full", i), func() bool { return g.claim(other) })
	}
	for i, d := range g.daemons {
		g.await(fmt.Sprintf("daemon %d acknowledges a change", i), func() bool { return g.change(d) })
		acknowledged++
		g.await(fmt.Sprintf("daemon %d accepts a claim", i), func() bool { return g.claim(d) })
		if got := g.revision(d); got < acknowledged {
			t.Errorf("daemon %d reads revision %d, want at least the acknowledged %d", i, got, acknowledged)
		}
	}
}
