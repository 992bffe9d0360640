// Command leaving plays a machine that is cut off from all workers while one of them
// leaves, and looks for requests that reach this worker from the machine later than
// drainMs after the machine had passed on an answer with Server-Leaving.
package main

import (
	"fmt"
	"time"

	"cyclamenhub.org/review/bed"
)

const (
	// drain is drainMs.
	drain    = 3 * time.Second
	deadline = 3 * time.Second
	work     = 100 * time.Millisecond
	// pause is that of a client between two requests, longPause that of the one which
	// calls at the machine all the time.
	pause     = 20 * time.Millisecond
	longPause = 200 * time.Millisecond
	// usual is the time before the cut, warmClients and moreClients are numbers of
	// clients beside that one.
	usual       = 3 * time.Second
	warmClients = 16
	moreClients = 6
	// listLag is lagMs of the list.
	listLag = 800 * time.Millisecond
	// cutBefore is how long the cut has lasted when the worker leaves, and cutAfter how
	// much longer it lasts.
	cutBefore = 1200 * time.Millisecond
	cutAfter  = 3600 * time.Millisecond
	// apiBefore is how long the platform's API has been down when the worker leaves, and
	// apiAfter how much longer it is.
	apiBefore = 100 * time.Millisecond
	apiAfter  = 4800 * time.Millisecond
	// loadAfter is the time from the leaving to the end of the load, and endAfter that to
	// the end of the worker.
	loadAfter = 6 * time.Second
	endAfter  = 7 * time.Second
)

func main() { bed.Main(run) }

// run plays the case and returns the exit code.
func run(o bed.Options, trouble bool) (int, error) {
	o.Owners = true
	b, err := bed.New(o)
	if err != nil {
		return bed.ExitFailed, err
	}
	defer b.Close()
	var workers []*bed.Worker
	list := func() {
		var entries []bed.Entry
		for _, w := range workers {
			entries = append(entries, w.Entry())
		}
		b.Cloud.List(entries...)
	}
	for i := range 3 {
		w, err := b.NewWorker(fmt.Sprintf("i-%d", i+1), 100+i, work)
		if err != nil {
			return bed.ExitFailed, err
		}
		workers = append(workers, w)
	}
	list()
	if err := b.Start(3, 2); err != nil {
		return bed.ExitFailed, err
	}
	route := bed.Route{Name: "r-file", PathPrefix: "/file/", RouteType: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: 300, MaxAttempts: 1}
	if err := b.StoreConfig(bed.Config{Version: 1, Routes: []bed.Route{route}}); err != nil {
		return bed.ExitFailed, err
	}
	if err := b.AwaitReady(); err != nil {
		return bed.ExitFailed, err
	}
	cut, other := b.Entries[0], b.Entries[1]
	// Both machines open their connections to the workers.
	warm := b.StartLoad(other, "/file/a", "warm", warmClients, nil, deadline, pause)
	load := b.StartLoad(cut, "/file/a", "cut", 1, nil, deadline, longPause)
	time.Sleep(usual)
	warm.Stop()

	cutAt := b.Record.Now()
	if trouble {
		b.Record.Add("cut: %s loses its connections to all workers, and new ones are refused", cut.Name)
		for _, w := range workers {
			w.Refuse(cut.Name)
		}
	}
	time.Sleep(cutBefore - apiBefore)
	b.Cloud.SetDown(trouble)
	time.Sleep(apiBefore)
	leaver := busiest(workers, cutAt)
	leaver.Leave()
	time.AfterFunc(listLag, list)
	left := time.Now()
	time.Sleep(cutAfter)
	if trouble {
		b.Record.Add("cut: ends")
		for _, w := range workers {
			if err := w.Accept(); err != nil {
				return bed.ExitFailed, err
			}
		}
	}
	more := b.StartLoad(cut, "/file/a", "more", moreClients, nil, deadline, pause)
	time.Sleep(time.Until(left.Add(apiAfter)))
	b.Cloud.SetDown(false)
	time.Sleep(time.Until(left.Add(loadAfter)))
	answers := append(load.Stop(), more.Stop()...)
	time.Sleep(time.Until(left.Add(endAfter)))
	leaver.End()
	return judge(b, cut, leaver, answers, trouble), nil
}

// busiest returns the worker that has begun most requests since a time.
func busiest(workers []*bed.Worker, since time.Duration) *bed.Worker {
	var best *bed.Worker
	most := -1
	for _, w := range workers {
		n := 0
		for _, r := range w.Runs() {
			if r.At >= since {
				n++
			}
		}
		if n > most {
			best, most = w, n
		}
	}
	return best
}

// judge checks the rule and returns the exit code.
func judge(b *bed.Bed, cut *bed.Machine, leaver *bed.Worker, answers []bed.Answer, trouble bool) int {
	sentAt := make(map[string]time.Duration)
	byID := make(map[string]bed.Answer)
	told := time.Duration(-1)
	ok := 0
	for _, a := range answers {
		sentAt[a.ID], byID[a.ID] = a.SentAt, a
		if a.Leaving && (told < 0 || a.DoneAt < told) {
			told = a.DoneAt
		}
		if a.Status == 200 {
			ok++
		}
	}
	b.Record.Say("%d requests sent to %s, %d answered 200", len(answers), cut.Name, ok)
	if told < 0 {
		b.Record.Say("no answer with Server-Leaving was passed on")
		if trouble {
			return bed.ExitFailed
		}
		return bed.ExitHeld
	}
	b.Record.Say("%s passed on the first answer with Server-Leaving at %.3f s", cut.Name, told.Seconds())
	late := 0
	for _, r := range leaver.Runs() {
		if r.From != cut.Name || sentAt[r.ID] <= told+drain {
			continue
		}
		late++
		b.Record.Add("late: %s, sent at %.3f s, reached %s from %s at %.3f s and got status %d", r.ID, sentAt[r.ID].Seconds(), leaver.ID, r.From, r.At.Seconds(), byID[r.ID].Status)
	}
	b.Record.Say("%d requests sent later than %v after that reached %s from %s", late, drain, leaver.ID, cut.Name)
	if late > 0 {
		b.Record.Say("DRAIN is broken")
		return bed.ExitBroken
	}
	return bed.ExitHeld
}
