// Command stale plays a platform whose API is slow for some seconds, at the end of which a
// worker begins to leave, and looks for requests that reach this worker later than drainMs
// after the list has shown that.
package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"cyclamenhub.org/review/bed"
)

const (
	entries  = 4
	workers  = 4
	work     = 100 * time.Millisecond
	deadline = 3 * time.Second
	pause    = 100 * time.Millisecond
	// usualLatency is what a call for the list takes, slowLatency 50 times as much.
	usualLatency = 18 * time.Millisecond
	slowLatency  = 50 * usualLatency
	// calm is the time before the API is slow, and slowFrom and slowTo are bounds of the
	// time for which it is.
	calm     = 3 * time.Second
	slowFrom = 3 * time.Second
	slowTo   = 6 * time.Second
	poll     = 5 * time.Millisecond
	// drain is drainMs, quiet the time from the end of the slow calls to the next clients,
	// and loaded for how long these come.
	drain  = 3 * time.Second
	quiet  = 3500 * time.Millisecond
	loaded = 4 * time.Second
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
	var servers []*bed.Worker
	for i := range workers {
		w, err := b.NewWorker(fmt.Sprintf("i-%d", i+1), 100+i, work)
		if err != nil {
			return bed.ExitFailed, err
		}
		servers = append(servers, w)
	}
	list := func() {
		var listed []bed.Entry
		for _, w := range servers {
			listed = append(listed, w.Entry())
		}
		b.Cloud.List(listed...)
	}
	list()
	b.Cloud.SetLatency(usualLatency)
	if err := b.Start(3, entries); err != nil {
		return bed.ExitFailed, err
	}
	route := bed.Route{Name: "r-file", PathPrefix: "/file/", RouteType: "non_idempotent", TimeoutMs: 3000, TargetLatencyMs: 300, MaxAttempts: 1}
	if err := b.StoreConfig(bed.Config{Version: 1, Routes: []bed.Route{route}}); err != nil {
		return bed.ExitFailed, err
	}
	if err := b.AwaitReady(); err != nil {
		return bed.ExitFailed, err
	}
	load(b, "calm", calm)
	if trouble {
		b.Cloud.SetLatency(slowLatency)
	}
	time.Sleep(slowFrom)
	if trouble && !awaitReads(b) {
		return bed.ExitFailed, errors.New("no edge machine was reading the list when the leader's reading was about to fail")
	}
	leaver := servers[0]
	leaver.Leave()
	list()
	b.Cloud.SetLatency(usualLatency)
	shown := b.Record.Now()
	time.Sleep(quiet)
	answers := load(b, "after", loaded)
	leaver.End()
	return judge(b, leaver, answers, shown), nil
}

// awaitReads waits, at most until slowTo, for a moment at which the leader's reading of
// the list is about to time out and an edge machine has just begun to read it itself.
func awaitReads(b *bed.Bed) bool {
	for until := time.Now().Add(slowTo - slowFrom); time.Now().Before(until); time.Sleep(poll) {
		now := b.Record.Now()
		failing, reading := false, false
		for _, r := range b.Cloud.Reads() {
			age := now - r.At
			switch {
			case r.DoneAt > 0:
			case strings.HasPrefix(r.From, "core"):
				failing = failing || age > slowLatency/2
			case strings.HasPrefix(r.From, "edge"):
				reading = reading || age < slowLatency/2
			}
		}
		if failing && reading {
			return true
		}
	}
	return false
}

// load sends requests to all edge machines for some time and returns the answers.
func load(b *bed.Bed, name string, d time.Duration) []bed.Answer {
	var loads []*bed.Load
	for i, m := range b.Entries {
		loads = append(loads, b.StartLoad(m, "/file/a", fmt.Sprintf("%s-%d", name, i+1), 4, nil, deadline, pause))
	}
	time.Sleep(d)
	var answers []bed.Answer
	for _, l := range loads {
		answers = append(answers, l.Stop()...)
	}
	return answers
}

// judge checks the rule and returns the exit code.
func judge(b *bed.Bed, leaver *bed.Worker, answers []bed.Answer, shown time.Duration) int {
	sentAt := make(map[string]time.Duration)
	for _, a := range answers {
		sentAt[a.ID] = a.SentAt
	}
	late := make(map[string]int)
	for _, r := range leaver.Runs() {
		if at, ok := sentAt[r.ID]; ok && at > shown+drain {
			late[r.From]++
			b.Record.Add("late: %s, sent at %.3f s, reached %s from %s at %.3f s", r.ID, at.Seconds(), leaver.ID, r.From, r.At.Seconds())
		}
	}
	b.Record.Say("the list showed that %s is draining at %.3f s; requests sent later than %v after that reached it: %v", leaver.ID, shown.Seconds(), drain, late)
	if len(late) > 0 {
		b.Record.Say("DRAIN is broken")
		return bed.ExitBroken
	}
	return bed.ExitHeld
}
