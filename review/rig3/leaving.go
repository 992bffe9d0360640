package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The load and the times of the case. The worker leaves at its notice, serves on for more than
// drainMs, and ends once it has ended its last answer.
const (
	leavingStreams = 24
	leavingEvents  = 40
	shortEvents    = 2
	leavingPause   = 100 * time.Millisecond
	leavingNotice  = 500 * time.Millisecond
	leavingBudget  = 12 * time.Second
	// lostAllowed is how many requests rule LOST allows.
	lostAllowed = 3
)

// runLeaving has a worker leave in order: it ends after it has ended all its answers.
func runLeaving(s *system) (bool, error) {
	if err := s.start(1); err != nil {
		return false, err
	}
	var workers []*workerProcess
	defer func() {
		for _, w := range workers {
			w.kill()
		}
	}()
	list, err := s.startWorkerProcesses(&workers, false)
	if err != nil {
		return false, err
	}
	s.cloud.set(slices.Clone(list))
	if err := errors.Join(s.putConfig(leavingConfig()), s.awaitReady()); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	answers := make([]string, leavingStreams)
	for n := range leavingStreams {
		wg.Go(func() { answers[n] = callLeaving(s, fmt.Sprintf("s-%d", n)) })
	}
	if err := awaitBegun(workers, leavingStreams); err != nil {
		return false, err
	}
	w := slices.MaxFunc(workers, func(a, b *workerProcess) int { return a.begun() - b.begun() })
	s.note("all streams have begun, %d of them at %s", w.begun(), w.id)
	time.Sleep(leavingNotice)
	if s.trouble {
		if err := w.run.Process.Signal(syscall.SIGUSR1); err != nil {
			return false, err
		}
		time.AfterFunc(reclaimLag, func() {
			leaving := slices.Clone(list)
			leaving[slices.IndexFunc(leaving, func(in instance) bool { return in.ID == w.id })].State = "draining"
			s.cloud.set(leaving)
			s.log("%s is listed as leaving", w.id)
		})
	}
	wg.Wait()
	lost := 0
	for n, a := range answers {
		id := fmt.Sprintf("s-%d", n)
		hasEnded := slices.ContainsFunc(workers, func(w *workerProcess) bool { return w.hasEnded(id) })
		isLost := hasEnded && a != "whole"
		if isLost {
			lost++
		}
		s.log("%s: ended by its worker %t; client: %s", id, hasEnded, a)
	}
	s.note("%d of %d streams were ended by their workers and broken off by the entry host; %d allowed", lost, leavingStreams, lostAllowed)
	return lost > lostAllowed, nil
}

// leavingConfig returns a config with one streaming route.
func leavingConfig() map[string]any {
	config := rebornConfig()
	route := config["routes"].([]any)[0].(map[string]any)
	route["name"], route["pathPrefix"], route["routeType"], route["interTokenMs"] = "r-brief", streamPrefix, "streaming", 500
	return config
}

// streamPrefix begins the paths of streams, and shortPath is that of short ones.
const (
	streamPrefix = "/brief/"
	shortPath    = streamPrefix + "short"
)

// callLeaving calls a short stream and then a long one on the same channel, and returns how
// the long one ended.
func callLeaving(s *system, id string) string {
	c := newClient()
	defer c.CloseIdleConnections()
	if end := callEvents(s, c, shortPath, "short-"+id, shortEvents); end != "whole" {
		return "short one: " + end
	}
	return callEvents(s, c, streamPrefix+"2f", id, leavingEvents)
}

// callEvents calls a stream and returns how it ended.
func callEvents(s *system, c *http.Client, path, id string, count int) string {
	ctx, cancel := context.WithTimeout(context.Background(), leavingBudget)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		s.log("%s is sent, on a channel that was used before: %t", id, info.Reused)
	}})
	res, err := c.Do(newRequest(ctx, s.entries[0], http.MethodGet, path, id, leavingBudget))
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	events := strings.Count(string(b), "data:")
	switch {
	case err != nil:
		return fmt.Sprintf("broken off after %d events: %v", events, err)
	case res.StatusCode != http.StatusOK || events != count:
		return fmt.Sprintf("status %d, %d events", res.StatusCode, events)
	default:
		return "whole"
	}
}
