// Command frozen ends a backend server that writes streams without a length, and starts it again,
// while an entry host stands still. It checks that no caller gets a stream as complete that ended
// before its last event.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"cyclamenhub.org/review/rig"
)

const (
	events   = 40
	pause    = "150ms"
	callers  = 24
	servers  = 4
	freeze   = 4 * time.Second // for which the entry host stands still
	downFor  = 2 * time.Second // for which the server is down
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
		time.Sleep(50 * time.Millisecond)
	}
	if trouble {
		if err := disturb(r, entry, workers[0], list); err != nil {
			return 2, err
		}
	}
	wg.Wait()
	return verdict(r, answers, trouble), nil
}

// disturb freezes the entry host. Meanwhile the first server of the list crashes and is started
// again at its address, as a new one.
func disturb(r *rig.Rig, entry *rig.Machine, p *rig.Process, list []rig.Server) error {
	time.Sleep(time.Second)
	if err := entry.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	frozen := time.Now()
	r.Record.Printf("platform: the entry host stands still for %v", freeze)
	time.Sleep(freeze / 8)
	p.Kill()
	r.Record.Printf("platform: server %s has crashed, it is down for %v", p.ID, downFor)
	time.Sleep(downFor)
	list[0].ID, list[0].Born = "i-5", time.Now().UnixMilli()
	if _, err := r.StartWorker(list[0].ID, p.Address, "-unframed", "-events", fmt.Sprint(events), "-pause", pause); err != nil {
		return err
	}
	r.Platform.SetServers(list)
	r.Record.Printf("platform: it is back as server %s", list[0].ID)
	time.Sleep(time.Until(frozen.Add(freeze)))
	r.Record.Printf("platform: the entry host goes on")
	return entry.Signal(syscall.SIGCONT)
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
