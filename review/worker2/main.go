// Command worker2 is a stand-in of a backend server in a process of its own, so that a case can
// end it as the platform ends a server.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"cyclamenhub.org/review/rig"
)

func main() {
	address := flag.String("address", "", "address to listen at")
	id := flag.String("id", "", "id in the list of servers")
	events := flag.Int("events", 40, "events of a stream")
	short := flag.Int("short", 0, "events of a stream of the second kind, 0 means as many")
	pause := flag.Duration("pause", 150*time.Millisecond, "time before each event")
	quiet := flag.Bool("quiet", false, "print nothing")
	unframed := flag.Bool("unframed", false, "answers have neither a length nor chunks")
	flag.Parse()
	var mu sync.Mutex
	w := &rig.Worker{ID: *id, Unframed: *unframed, Events: *events, ShortEvents: *short, Pause: *pause, Work: 60 * time.Millisecond, Log: func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		if *quiet {
			return
		}
		fmt.Printf(format+"\n", args...)
	}}
	if err := w.Listen(*address); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	leaves := make(chan os.Signal, 1)
	signal.Notify(leaves, syscall.SIGUSR1)
	for range leaves {
		w.SetLeaving()
	}
}
