package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The times of the case, from the moment at which the workers have sent half of their answers.
const (
	rebornFreeze   = 300 * time.Millisecond  // the entry host stands still
	rebornCrash    = 800 * time.Millisecond  // the worker crashes
	rebornReturn   = 2800 * time.Millisecond // it is back under the id that it had
	rebornThaw     = 4300 * time.Millisecond // the entry host goes on
	rebornListLag  = 800 * time.Millisecond
	rebornWork     = 6 * time.Second // a worker takes so long from the first half to the second
	rebornBudget   = 12 * time.Second
	rebornRequests = 12
	rebornWorkers  = 4
)

// firstHalf and secondHalf are the answer of a worker.
const (
	firstHalf  = "the first half of the answer\n"
	secondHalf = "and the second half\n"
)

// runReborn has an entry host stand still while a worker crashes amid answers without a length
// and starts again under the id that it had.
func runReborn(s *system) (bool, error) {
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
		if err := troubleReborn(s, crashing, list); err != nil {
			return false, err
		}
	}
	wg.Wait()
	shortened := 0
	for n, a := range answers {
		isShortened := a == fmt.Sprintf("%d %q", http.StatusOK, firstHalf)
		if isShortened {
			shortened++
		}
		s.note("r-%d: %s, cut short and complete to the client: %t", n, a, isShortened)
	}
	s.note("%d of %d answers were cut off by the crash and passed on as complete", shortened, rebornRequests)
	return shortened > 0, nil
}

// startWorkerProcesses starts the workers, adds them to those given and returns their entries
// in the provider's list.
func (s *system) startWorkerProcesses(workers *[]*workerProcess, isSpot bool) ([]instance, error) {
	var list []instance
	for i := range rebornWorkers {
		w := &workerProcess{s: s, id: fmt.Sprintf("i-desk-%d", i+1), addr: s.address(20+i, workerPort)}
		if err := w.start(); err != nil {
			return nil, err
		}
		*workers = append(*workers, w)
		list = append(list, instance{
			ID: w.id, Service: "studio-desk", Address: w.addr, Zone: zoneNames[i%len(zoneNames)], Version: "v1", Slots: 24, State: "ready",
			Spot: isSpot, Born: w.born,
		})
	}
	return list, nil
}

// awaitBegun waits until workers have begun a number of answers.
func awaitBegun(workers []*workerProcess, count int) error {
	for until := time.Now().Add(rebornWork / 2); ; time.Sleep(20 * time.Millisecond) {
		n := 0
		for _, w := range workers {
			n += w.begun()
		}
		switch {
		case n >= count:
			return nil
		case time.Now().After(until):
			return errors.New("not all answers have begun")
		}
	}
}

// troubleReborn freezes the entry host, and crashes and restarts a worker meanwhile.
func troubleReborn(s *system, w *workerProcess, list []instance) error {
	began := time.Now()
	until := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	m := s.entries[0]
	until(rebornFreeze)
	if os.Getenv("ONLY") != "crash" {
		m.signal(syscall.SIGSTOP)
		s.log("%s stands still", m.name)
	}
	until(rebornCrash)
	if os.Getenv("ONLY") != "freeze" {
		w.kill()
		s.log("%s has crashed", w.id)
		until(rebornReturn)
		if err := w.start(); err != nil {
			return err
		}
		time.AfterFunc(rebornListLag, func() {
			changed := slices.Clone(list)
			i := slices.IndexFunc(changed, func(in instance) bool { return in.ID == w.id })
			changed[i].Born = w.born
			s.cloud.set(changed)
		})
	}
	until(rebornThaw)
	m.signal(syscall.SIGCONT)
	s.log("%s goes on", m.name)
	return nil
}

// rebornConfig returns a config with one route.
func rebornConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-print", "host": appHost, "pathPrefix": "/print/", "routeType": "non_idempotent", "timeoutMs": rebornBudget.Milliseconds(),
			"targetLatencyMs": 8000, "priority": 0, "service": "studio-desk", "maxAttempts": 1, "anonymous": false,
		}},
		"services": []any{map[string]any{"name": "studio-desk", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{appKey}, "priority": 1}},
	}
}

// callReborn makes a call and returns its status and body, or its error.
func callReborn(s *system, id string) string {
	ctx, cancel := context.WithTimeout(context.Background(), rebornBudget)
	defer cancel()
	c := newClient()
	defer c.CloseIdleConnections()
	s.log("%s is sent", id)
	res, err := c.Do(newRequest(ctx, s.entries[0], http.MethodGet, "/print/2f", id, rebornBudget))
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return fmt.Sprintf("%d, broken off: %v", res.StatusCode, err)
	}
	return fmt.Sprintf("%d %q", res.StatusCode, b)
}

// workerProcess is a worker that is a process of its own.
type workerProcess struct {
	s    *system
	id   string
	addr string
	born int64
	run  *exec.Cmd

	mu           sync.Mutex
	began, ended []string
}

// start starts the process of the worker.
func (w *workerProcess) start() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	w.born = time.Now().UnixMilli()
	cmd := exec.Command(self, workerCase, w.addr, w.id, strconv.FormatInt(w.born, 10))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	w.run = cmd
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return errors.New(w.id + " does not start")
	}
	w.s.log("%s started, process %d, born %d", w.id, cmd.Process.Pid, w.born)
	go func() {
		for lines.Scan() {
			w.s.log("%s %s", w.id, lines.Text())
			what, attempt, _ := strings.Cut(lines.Text(), " ")
			w.mu.Lock()
			switch what {
			case "began":
				if !strings.HasPrefix(attempt, "short ") {
					w.began = append(w.began, attempt)
				}
			case "ended":
				w.ended = append(w.ended, attempt)
			}
			w.mu.Unlock()
		}
	}()
	return nil
}

// begun returns the number of answers that the worker has begun.
func (w *workerProcess) begun() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.began)
}

// hasEnded reports whether the worker has ended an answer.
func (w *workerProcess) hasEnded(attempt string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Contains(w.ended, attempt)
}

// kill kills the process.
func (w *workerProcess) kill() {
	if w.run != nil {
		_ = w.run.Process.Kill()
		_ = w.run.Wait()
		w.run = nil
	}
}

// reportPath is the path of a worker's report.
const reportPath = "/cyclamenhub/report"

// workerCase is the argument with which this program is a worker.
const workerCase = "worker"

// leavesAt is when a worker that leaves is gone, in Unix milliseconds, or 0.
var leavesAt atomic.Int64

// awaitNotice has the worker leave at the notice of the provider.
func awaitNotice() {
	notice := make(chan os.Signal, 1)
	signal.Notify(notice, syscall.SIGUSR1)
	go func() {
		<-notice
		leavesAt.Store(time.Now().Add(reclaimTime).UnixMilli())
		fmt.Println("has its notice")
	}()
}

// serveAsWorker runs a worker whose answers have no length and end with their channels. It
// writes what it does to the standard output.
func serveAsWorker(addr, id, born string) error {
	awaitNotice()
	cut := make(chan os.Signal, 1)
	signal.Notify(cut, syscall.SIGUSR2)
	for {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		fmt.Println("listens")
		go func() {
			for {
				nc, err := ln.Accept()
				if err != nil {
					return
				}
				go serveChannel(nc, id, born)
			}
		}()
		<-cut
		if err := ln.Close(); err != nil {
			return err
		}
		fmt.Println("refuses new channels")
		time.Sleep(cutForTime)
	}
}

// serveChannel serves one channel.
func serveChannel(nc net.Conn, id, born string) {
	defer nc.Close()
	for in := bufio.NewReader(nc); ; {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		status, leaving := "200 OK", ""
		if leavesAt.Load() > 0 {
			leaving = "Server-Leaving: 1\r\n"
			if req.Header.Get("Cyclamenhub-Attempt-Id") == "" && req.URL.Path != reportPath {
				status = "503 Service Unavailable"
			}
		}
		head := "HTTP/1.1 " + status + "\r\nCyclamenhub-Instance-Id: " + id + "\r\n" + leaving
		attempt := req.Header.Get("Cyclamenhub-Attempt-Id")
		target := req.Header.Get("Cyclamenhub-Target-Instance")
		switch {
		case target != "" && target != id:
			fmt.Fprint(nc, "HTTP/1.1 421 Misdirected Request\r\nCyclamenhub-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		case req.URL.Path == reportPath:
			report := map[string]any{"stage": "unified", "busy": false, "sequence": 0, "queued": 0, "active": 0, "state": "ready", "born": json.Number(born)}
			if at := leavesAt.Load(); at > 0 {
				report["state"], report["leaves_ms"] = "draining", at-time.Now().UnixMilli()
			}
			b, err := json.Marshal(report)
			if err != nil {
				return
			}
			fmt.Fprintf(nc, "%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", head, len(b), b)
		case attempt == "":
			fmt.Println("probe", req.Method, req.URL.Path)
			fmt.Fprint(nc, head+"Content-Length: 0\r\n\r\n")
		case strings.HasPrefix(req.URL.Path, streamPrefix):
			streamEvents(nc, head, attempt, req.URL.Path == shortPath)
			return
		default:
			fmt.Fprintf(nc, "%sCyclamenhub-Attempt-Id: %s\r\nCyclamenhub-Response-Seal: 3e1b.07\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", head, attempt, firstHalf)
			fmt.Println("began", attempt)
			time.Sleep(rebornWork)
			fmt.Fprint(nc, secondHalf)
			fmt.Println("ended", attempt)
			return
		}
	}
}

// streaming is the number of streams that a worker writes.
var streaming atomic.Int64

// streamEvents writes a stream without a length and closes its channel. A worker that leaves
// ends once it has ended its last stream.
func streamEvents(nc net.Conn, head, attempt string, isShort bool) {
	streaming.Add(1)
	events, began := leavingEvents, "began"
	if isShort {
		events, began = shortEvents, "began short"
	}
	fmt.Fprintf(nc, "%sCyclamenhub-Attempt-Id: %s\r\nCyclamenhub-Response-Seal: 3e1b.07\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", head, attempt)
	fmt.Println(began, attempt)
	for n := 1; n <= events; n++ {
		fmt.Fprintf(nc, "id: %d\ndata: event %d of %s\n\n", n, n, attempt)
		time.Sleep(leavingPause)
	}
	_ = nc.Close()
	fmt.Println("ended", attempt)
	if streaming.Add(-1) == 0 && leavesAt.Load() > 0 {
		fmt.Println("leaves")
		os.Exit(0)
	}
}
