// Command cutoff partitions an entry host from all backend servers in the way that leaves open
// connections alive and refuses new ones, while servers write streams without a length. It
// checks that callers get the whole answers of the sound servers.
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
	events   = 24
	pause    = 150 * time.Millisecond
	callers  = 12
	cutTime  = 5 * time.Second
	lifetime = 10 * time.Second
	// allowed is how many calls the rule lets a machine lose.
	allowed = 3
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
	var workers []*rig.Worker
	for n := range 4 {
		w := &rig.Worker{ID: fmt.Sprintf("i-%d", n+1), Unframed: true, Events: events, Pause: pause, Log: r.Record.Printf}
		if err := w.Listen(r.IP() + ":8080"); err != nil {
			return 2, err
		}
		defer w.Refuse()
		workers = append(workers, w)
		list = append(list, rig.Server{ID: w.ID, Service: rig.Model, Address: w.Address(), Zone: rig.Zones[n], Version: "v1", Slots: 64,
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
			answers[n] = c.Call(http.MethodPost, rig.Draft+"2f", id, lifetime)
			r.Record.Printf("caller: %s answered: %v", id, answers[n])
		})
		time.Sleep(50 * time.Millisecond)
	}
	if trouble {
		time.Sleep(time.Second)
		if err := cut(r, workers); err != nil {
			return 2, err
		}
	}
	wg.Wait()
	return verdict(r, answers, trouble), nil
}

// cut refuses new connections to all servers for some time. Open ones live on.
func cut(r *rig.Rig, workers []*rig.Worker) error {
	for _, w := range workers {
		w.Refuse()
	}
	r.Record.Printf("link: new connections to all servers are refused, open ones live on")
	time.Sleep(cutTime)
	for _, w := range workers {
		if err := w.Listen(w.Address()); err != nil {
			return err
		}
	}
	r.Record.Printf("link: new connections are accepted again")
	return nil
}

// verdict returns the exit code for the answers.
func verdict(r *rig.Rig, answers []rig.Answer, trouble bool) int {
	whole, lost := 0, 0
	for _, a := range answers {
		if a.Status == http.StatusOK && a.Complete && a.Events == events {
			whole++
		} else {
			lost++
		}
	}
	text := fmt.Sprintf("LOST: %d calls whose servers were sound ended without a complete answer, %d were answered", lost, whole)
	r.Record.Printf("%s", text)
	fmt.Println(text)
	switch {
	case !trouble && lost > 0:
		return 2
	case lost > allowed:
		return 1
	default:
		return 0
	}
}
