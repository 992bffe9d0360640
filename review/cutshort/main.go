// Command cutshort reclaims backend servers while they write streams without a length. It
// checks that no caller gets a stream as complete that ended before its last event.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"

	"cyclamenhub.org/review/rig"
)

const (
	events   = 40
	pause    = "150ms"
	callers  = 12
	notice   = 2 * time.Second // from the notice to the end of reclaimed servers
	lifetime = 10 * time.Second
)

func main() {
	code, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("the case could not run:", err)
		code = 2
	}
	os.Exit(code)
}

// run plays the case and returns the exit code.
func run(record string, trouble bool) (int, error) {
	r, err := rig.New(record)
	if err != nil {
		return 2, err
	}
	defer r.Close()
	var list []rig.Server
	var workers []*rig.Process
	for n := range 4 {
		id := fmt.Sprintf("i-%d", n+1)
		p, err := r.StartWorker(id, r.IP()+":8080", "-unframed", "-events", fmt.Sprint(events), "-pause", pause)
		if err != nil {
			return 2, err
		}
		workers = append(workers, p)
		list = append(list, rig.Server{ID: id, Service: rig.Model, Address: p.Address, Zone: rig.Zones[n/2], Version: "v1", Slots: 64,
			State: "ready", Spot: n < 2, Born: time.Now().UnixMilli()})
	}
	r.Platform.SetServersNow(list)
	r.AddKeepers(3)
	entry := r.AddEntry(rig.Zones[0])
	if err := r.Start(rig.Document(1)); err != nil {
		return 2, err
	}
	time.Sleep(2 * time.Second)
	answers := make([]rig.Answer, callers)
	var wg sync.WaitGroup
	for n := range callers {
		wg.Go(func() {
			id := fmt.Sprintf("a%07d", n+1)
			c, err := rig.Connect(entry.Callers())
			if err != nil {
				answers[n] = rig.Answer{Err: err}
				return
			}
			defer c.Close()
			r.Record.Printf("caller: sends %s", id)
			prefix := rig.Draft
			if n%2 == 1 {
				prefix = rig.Rewrite
			}
			answers[n] = c.Call(http.MethodPost, prefix+"2f", id, lifetime)
			r.Record.Printf("caller: %s answered: %v", id, answers[n])
		})
		time.Sleep(50 * time.Millisecond)
	}
	if trouble {
		reclaim(r, workers[:2], list)
	}
	wg.Wait()
	return verdict(r, answers, trouble), nil
}

// reclaim takes the first servers of the list away: they are listed as draining and say so in
// their answers, and end after the notice.
func reclaim(r *rig.Rig, workers []*rig.Process, list []rig.Server) {
	for i, p := range workers {
		list[i].State, list[i].LeavesMs = "draining", float64(notice.Milliseconds())
		p.SetLeaving()
	}
	r.Platform.SetServers(list)
	r.Record.Printf("platform: the servers of %s are reclaimed, they end in %v", rig.Zones[0], notice)
	time.Sleep(notice)
	for _, p := range workers {
		p.Kill()
		r.Record.Printf("platform: server %s has ended", p.ID)
	}
	time.Sleep(time.Second)
	r.Platform.SetServers(list[len(workers):])
}

// verdict returns the exit code for the answers.
func verdict(r *rig.Rig, answers []rig.Answer, trouble bool) int {
	early, whole, broken := 0, 0, 0
	for _, a := range answers {
		switch {
		case a.Status == http.StatusOK && a.Complete && a.Events < events:
			early++
		case a.Status == http.StatusOK && a.Complete:
			whole++
		default:
			broken++
		}
	}
	text := fmt.Sprintf("ORDER: %d streams ended as complete before their last event, %d were whole, %d were not complete or failed", early, whole, broken)
	r.Record.Printf("%s", text)
	fmt.Println(text)
	switch {
	case early > 0:
		return 1
	case whole == 0 || !trouble && broken > 0:
		return 2
	default:
		return 0
	}
}
