package main

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// The times of the case, from the moment at which the workers have sent half of their answers.
const (
	cutBegins  = 500 * time.Millisecond  // the entry host is cut off from all workers
	cutCrash   = 3500 * time.Millisecond // a worker crashes
	cutReturn  = 5500 * time.Millisecond // it is back, and the cut ends
	cutForTime = cutReturn - cutBegins
)

// runCutOff has a worker crash while new channels to all workers are refused to the entry host
// and open ones live on.
func runCutOff(s *system) (bool, error) {
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
	if err := errors.Join(s.putConfig(rebornConfig()), s.awaitReady()); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	answers := make([]string, rebornRequests)
	for n := range rebornRequests {
		wg.Go(func() { answers[n] = callReborn(s, fmt.Sprintf("r-%d", n)) })
	}
	if err := awaitBegun(workers, rebornRequests); err != nil {
		return false, err
	}
	crashing := slices.MaxFunc(workers, func(a, b *workerProcess) int { return a.begun() - b.begun() })
	s.note("all answers have begun, %d of them at %s", crashing.begun(), crashing.id)
	if s.trouble {
		if err := troubleCutOff(s, workers, crashing); err != nil {
			return false, err
		}
	}
	wg.Wait()
	shortened := 0
	for n, a := range answers {
		if a == fmt.Sprintf("%d %q", http.StatusOK, firstHalf) {
			shortened++
		}
		s.log("r-%d: %s", n, a)
	}
	s.note("%d of %d answers were cut off by the crash and passed on as complete", shortened, rebornRequests)
	return shortened > 0, nil
}

// troubleCutOff has all workers refuse new channels for some time, and one of them crash
// meanwhile. ONLY leaves out the other disruption.
func troubleCutOff(s *system, workers []*workerProcess, crashing *workerProcess) error {
	began := time.Now()
	until := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	only := os.Getenv("ONLY")
	until(cutBegins)
	if only != "crash" {
		for _, w := range workers {
			if err := w.run.Process.Signal(syscall.SIGUSR2); err != nil {
				return err
			}
		}
		s.log("new channels to all workers are refused, open ones live on")
	}
	if only == "cut" {
		return nil
	}
	until(cutCrash)
	crashing.kill()
	s.log("%s has crashed", crashing.id)
	until(cutReturn)
	return crashing.start()
}
