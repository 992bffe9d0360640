// Command crashed ends backend servers that write streams without a length, and starts them
// again. It checks that no caller gets a stream as complete that ended before its last event.
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
	callers  = 200
	servers  = 4
	crashes  = 2
	calm     = 800 * time.Millisecond // before each crash
	downFor  = 2 * time.Second        // for which the server is down
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
	for n := range servers {
		id := fmt.Sprintf("i-%d", n+1)
		p, err := r.StartWorker(id, r.IP()+":8080", "-unframed", "-events", fmt.Sprint(events), "-pause", pause)
		if err != nil {
			return 2, err
		}
		workers = append(workers, p)
		list = append(list, rig.Server{ID: id, Service: rig.Model, Address: p.Address, Zone: rig.Zones[n%len(rig.Zones)], Version: "v1", Slots: 64,
			State: "ready", Born: time.Now().UnixMilli()})
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
		time.Sleep(10 * time.Millisecond)
	}
	if trouble {
		if err := disturb(r, workers[:crashes], list); err != nil {
			return 2, err
		}
	}
	wg.Wait()
	return verdict(r, answers, trouble), nil
}

// disturb lets some servers of the list crash, one after the other, and starts each again at its
// address, as a new one.
func disturb(r *rig.Rig, workers []*rig.Process, list []rig.Server) error {
	for i, p := range workers {
		time.Sleep(calm)
		p.Kill()
		r.Record.Printf("platform: server %s has crashed, it is down for %v", p.ID, downFor)
		time.Sleep(downFor)
		list[i].ID, list[i].Born = fmt.Sprintf("i-%d", len(list)+i+1), time.Now().UnixMilli()
		if _, err := r.StartWorker(list[i].ID, p.Address, "-unframed", "-events", fmt.Sprint(events), "-pause", pause); err != nil {
			return err
		}
		r.Platform.SetServers(list)
		r.Record.Printf("platform: it is back as server %s", list[i].ID)
	}
	return nil
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
