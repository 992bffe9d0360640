// Command forgotten plays a stretch in which the workers of a service announce something
// (that they are brittle, or a limit), and a final fault at its end: the machines of the
// core lose power and one of them its disk. Only one entry machine has calls in the
// stretch, so that all others know of the announcement from the leader only. It looks for
// machines that serve nothing after the recovery.
package main

import (
	"flag"
	"fmt"
	"sync"
	"time"

	"cyclamenhub.org/review/bed"
)

const (
	entries  = 6
	workers  = 3
	deadline = 3 * time.Second
	work     = 30 * time.Millisecond
	pause    = 100 * time.Millisecond
	// survived is N of Server-Brittle, perSecond the value of Server-Limit.
	survived  = "4"
	perSecond = "20"
	// calm is the time before the stretch, stretch its length.
	calm    = 3 * time.Second
	stretch = 5 * time.Second
	// down is for how long the machines of the core are down, and quiet the time from
	// then on in which clients still come to one machine only.
	down  = time.Second
	quiet = 3 * time.Second
	// recovery is recoveryS, and watched for how long requests count after it.
	recovery = 12 * time.Second
	watched  = 10 * time.Second
	// servedShare is the share that the rule asks for, before and after the fault.
	servedShare = 0.25
)

func main() {
	limit := flag.Bool("limit", false, "announce a limit, and remove the machine that has heard it")
	bed.Main(func(o bed.Options, trouble bool) (int, error) {
		if *limit {
			return limitCase.run(o, trouble)
		}
		return brittleCase.run(o, trouble)
	})
}

// play is what is announced.
type play struct {
	header, value string
	// removesFirst is set if the machine that has heard the announcement is removed at
	// the end of the stretch, as planned work.
	removesFirst bool
}

var (
	brittleCase = play{header: bed.HeaderBrittle, value: survived}
	limitCase   = play{header: bed.HeaderLimit, value: perSecond, removesFirst: true}
)

// run plays the case and returns the exit code.
func (p play) run(o bed.Options, trouble bool) (int, error) {
	b, err := bed.New(o)
	if err != nil {
		return bed.ExitFailed, err
	}
	defer b.Close()
	servers, err := startWorkers(b)
	if err != nil {
		return bed.ExitFailed, err
	}
	if err := b.Start(3, entries); err != nil {
		return bed.ExitFailed, err
	}
	c := bed.Config{Version: 1, Routes: []bed.Route{{Name: "r-file", PathPrefix: "/file/", RouteType: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: 300, MaxAttempts: 1}}}
	if err := b.StoreConfig(c); err != nil {
		return bed.ExitFailed, err
	}
	if err := b.AwaitReady(); err != nil {
		return bed.ExitFailed, err
	}
	before := loadAll(b, b.Entries, "calm", calm)

	// In the stretch clients come to one machine only.
	p.announce(servers, p.value)
	first := b.StartLoad(b.Entries[0], "/file/a", "stretch", 2, nil, deadline, pause)
	time.Sleep(stretch)
	others := b.Entries
	if p.removesFirst {
		before = append(before, first.Stop()...)
		first = nil
		others = b.Entries[1:]
		if err := b.Entries[0].Terminate(); err != nil {
			return bed.ExitFailed, err
		}
	}
	c.Version = 2
	if err := b.StoreConfig(c); err != nil {
		return bed.ExitFailed, err
	}
	if trouble {
		for _, m := range b.Keepers {
			m.Kill()
		}
	}
	p.announce(servers, "")
	if trouble {
		if err := b.Keepers[2].LoseDisk(); err != nil {
			return bed.ExitFailed, err
		}
		time.Sleep(down)
		for _, m := range b.Keepers {
			if err := m.Start(); err != nil {
				return bed.ExitFailed, err
			}
		}
	}
	back := b.Record.Now()
	time.Sleep(quiet)
	if first != nil {
		before = append(before, first.Stop()...)
	}
	after := loadAll(b, others, "after", recovery-quiet+watched)
	return judge(b, before, after, back), nil
}

// startWorkers starts the workers and lists them.
func startWorkers(b *bed.Bed) ([]*bed.Worker, error) {
	var list []*bed.Worker
	var listed []bed.Entry
	for i := range workers {
		w, err := b.NewWorker(fmt.Sprintf("i-%d", i+1), 100+i, work)
		if err != nil {
			return nil, err
		}
		list, listed = append(list, w), append(listed, w.Entry())
	}
	b.Cloud.List(listed...)
	return list, nil
}

// announce makes the workers announce a value, or nothing with an empty one.
func (p play) announce(servers []*bed.Worker, value string) {
	for _, w := range servers {
		w.Announce(p.header, value)
	}
}

// loadAll sends requests to machines for some time and returns the answers.
func loadAll(b *bed.Bed, machines []*bed.Machine, name string, d time.Duration) []bed.Answer {
	var loads []*bed.Load
	for i, m := range machines {
		loads = append(loads, b.StartLoad(m, "/file/a", fmt.Sprintf("%s-%d", name, i+1), 1, nil, deadline, pause))
	}
	time.Sleep(d)
	var mu sync.Mutex
	var wg sync.WaitGroup
	var answers []bed.Answer
	for i, l := range loads {
		wg.Go(func() {
			list := l.Stop()
			served := countServed(list)
			b.Record.Say("%s: %d of %d requests served at %s", name, served, len(list), machines[i].Name)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, list...)
		})
	}
	wg.Wait()
	return answers
}

// countServed returns the number of sealed answers with status 200.
func countServed(list []bed.Answer) int {
	n := 0
	for _, a := range list {
		if a.Status == 200 && a.Sealed {
			n++
		}
	}
	return n
}

// judge checks the rule and returns the exit code.
func judge(b *bed.Bed, before, after []bed.Answer, back time.Duration) int {
	var late []bed.Answer
	for _, a := range after {
		if a.SentAt > back+recovery {
			late = append(late, a)
		}
	}
	was := float64(countServed(before)) / float64(len(before))
	is := float64(countServed(late)) / float64(len(late))
	b.Record.Say("served before the final fault: %d of %d; of those sent later than %v after the machines were back: %d of %d",
		countServed(before), len(before), recovery, countServed(late), len(late))
	if was >= servedShare && is < servedShare {
		b.Record.Say("RECOVER is broken")
		return bed.ExitBroken
	}
	return bed.ExitHeld
}
