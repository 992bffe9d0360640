// Command blamed lets backend servers crash one after the other, whose answers have no length. It
// checks that proper requests are not refused for good after that.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhub.org/review/rig"
)

const (
	servers  = 6
	events   = "14"
	short    = "3"
	pause    = "130ms"
	checkers = 150 // clients with short streams
	drafters = 8   // clients with long streams
	crashes  = 12
	// subjects is the number of the second parts of prompts, the first of which is firstSubject.
	subjects, firstSubject = 20, 0x80
	gap                    = 3 * time.Second // between two crashes
	downFor                = 2 * time.Second
	thinkTime              = 150 * time.Millisecond
	lifetime               = 2500 * time.Millisecond
	tail                   = 15 * time.Second // after the last crash
	// perMille and free are how many refusals with a 4xx the rule allows.
	free, perMille = 5, 2
)

func main() {
	code, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("the case could not run:", err)
		code = 2
	}
	os.Exit(code)
}

// counts are what the clients got.
type counts struct{ all, served, denied, other atomic.Int64 }

// run plays the case and returns the exit code.
func run(record string, trouble bool) (int, error) {
	r, err := rig.New(record)
	if err != nil {
		return 2, err
	}
	defer r.Close()
	var list []rig.Server
	var workers []*rig.Process
	start := func(n, lifetime int, address string) (rig.Server, error) {
		id := fmt.Sprintf("i-%d-%d", n+1, lifetime)
		p, err := r.StartWorker(id, address, "-unframed", "-events", events, "-short", short, "-pause", pause, "-quiet")
		if err != nil {
			return rig.Server{}, err
		}
		if lifetime == 1 {
			workers = append(workers, p)
		} else {
			workers[n] = p
		}
		return rig.Server{ID: id, Service: rig.Model, Address: address, Zone: rig.Zones[n%len(rig.Zones)], Version: "v1", Slots: 64,
			State: "ready", Born: time.Now().UnixMilli()}, nil
	}
	for n := range servers {
		s, err := start(n, 1, r.IP()+":8080")
		if err != nil {
			return 2, err
		}
		list = append(list, s)
	}
	r.Platform.SetServersNow(list)
	r.AddKeepers(3)
	entries := []*rig.Machine{r.AddEntry(rig.Zones[0]), r.AddEntry(rig.Zones[1])}
	if err := r.Start(rig.Document(1)); err != nil {
		return 2, err
	}
	time.Sleep(2 * time.Second)
	var stop atomic.Bool
	var checks, drafts counts
	var wg sync.WaitGroup
	for n := range checkers + drafters {
		wg.Go(func() {
			if n < checkers {
				call(r, entries[n%2], n, "c1", rig.Rewrite, &checks, &stop)
			} else {
				call(r, entries[n%2], n, "d1", rig.Draft, &drafts, &stop)
			}
		})
	}
	for n := range crashes {
		time.Sleep(gap - downFor)
		if !trouble {
			time.Sleep(downFor)
			continue
		}
		i := n % servers
		workers[i].Kill()
		r.Record.Printf("platform: server %s has crashed, it is down for %v", list[i].ID, downFor)
		time.Sleep(downFor)
		s, err := start(i, 2+n/servers, list[i].Address)
		if err != nil {
			return 2, err
		}
		list[i] = s
		r.Platform.SetServers(list)
		r.Record.Printf("platform: it is back as server %s", s.ID)
	}
	r.Record.Printf("clients: so far %d short streams, %d served, %d denied with a 4xx, %d other", checks.all.Load(), checks.served.Load(), checks.denied.Load(), checks.other.Load())
	time.Sleep(tail)
	stop.Store(true)
	wg.Wait()
	return verdict(r, &checks, &drafts), nil
}

// call sends one call after the other until stop is set.
func call(r *rig.Rig, e *rig.Machine, client int, part, prefix string, c *counts, stop *atomic.Bool) {
	for n := 0; !stop.Load(); {
		conn, err := rig.Connect(e.Callers())
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		conn.Parts = fmt.Sprintf("%s:100,%02x:100", part, firstSubject+client%subjects)
		for open := true; open && !stop.Load(); {
			n++
			id := fmt.Sprintf("%s%04d%06d", part, client, n)
			a := conn.Call(http.MethodPost, prefix+"2f", id, lifetime)
			c.all.Add(1)
			switch {
			case a.Status == http.StatusOK && a.Complete:
				c.served.Add(1)
			case a.Status >= 400 && a.Status < 500 && a.Status != 408 && a.Status != 421 && a.Status != 429:
				if c.denied.Add(1) <= 5 {
					r.Record.Printf("caller: %s answered: %v, %q", id, a, a.Body)
				}
			default:
				c.other.Add(1)
				r.Record.Printf("caller: %s answered: %v", id, a)
			}
			open = a.Status != 0 && !a.Closes
			time.Sleep(thinkTime)
		}
		conn.Close()
	}
}

// verdict returns the exit code for the answers.
func verdict(r *rig.Rig, checks, drafts *counts) int {
	all, denied := checks.all.Load()+drafts.all.Load(), checks.denied.Load()+drafts.denied.Load()
	text := fmt.Sprintf("DENIED: %d of %d proper requests were ended with a 4xx, %d allowed; short streams: %d served, %d denied, %d other; long ones: %d served, %d denied, %d other",
		denied, all, free+all*perMille/1000, checks.served.Load(), checks.denied.Load(), checks.other.Load(), drafts.served.Load(), drafts.denied.Load(), drafts.other.Load())
	r.Record.Printf("%s", text)
	fmt.Println(text)
	switch {
	case denied > free+all*perMille/1000:
		return 1
	case checks.served.Load() == 0:
		return 2
	default:
		return 0
	}
}
