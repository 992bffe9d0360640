package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// The times of the case, from the moment at which the worker has sent half of its answer.
const (
	reclaimNotice = 500 * time.Millisecond  // the worker has its notice
	reclaimTime   = 2500 * time.Millisecond // from the notice until it is gone
	reclaimLag    = 800 * time.Millisecond  // from the notice until the list shows it
	// reclaimGoneCalm is when it is gone in the run without the disruption, after its answer.
	reclaimGoneCalm = rebornWork + 500*time.Millisecond
)

// runReclaimed has a worker that may be reclaimed taken away amid an answer without a length,
// after it was listed as leaving.
func runReclaimed(s *system) (bool, error) {
	if err := s.start(1); err != nil {
		return false, err
	}
	var workers []*workerProcess
	defer func() {
		for _, w := range workers {
			w.kill()
		}
	}()
	list, err := s.startWorkerProcesses(&workers, true)
	if err != nil {
		return false, err
	}
	s.cloud.set(slices.Clone(list))
	if err := errors.Join(s.putConfig(rebornConfig()), s.awaitReady()); err != nil {
		return false, err
	}
	answer := make(chan string, 1)
	go func() { answer <- callReborn(s, "r-0") }()
	if err := awaitBegun(workers, 1); err != nil {
		return false, err
	}
	w := slices.MaxFunc(workers, func(a, b *workerProcess) int { return a.begun() - b.begun() })
	s.note("%s has sent half of its answer", w.id)
	began := time.Now()
	time.Sleep(reclaimNotice)
	if err := w.run.Process.Signal(syscall.SIGUSR1); err != nil {
		return false, err
	}
	time.Sleep(reclaimLag)
	leaving := slices.Clone(list)
	i := slices.IndexFunc(leaving, func(in instance) bool { return in.ID == w.id })
	leaving[i].State, leaving[i].LeavesMs = "draining", (reclaimTime - reclaimLag).Milliseconds()
	s.cloud.set(leaving)
	s.log("%s is listed as leaving", w.id)
	gone := reclaimNotice + reclaimTime
	if !s.trouble {
		gone = reclaimGoneCalm
	}
	time.Sleep(time.Until(began.Add(gone)))
	w.kill()
	s.log("%s is gone", w.id)
	s.cloud.set(slices.Delete(slices.Clone(list), i, i+1))
	got := <-answer
	s.note("r-0: %s", got)
	return got == fmt.Sprintf("%d %q", http.StatusOK, firstHalf), nil
}
