package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
)

// worker is a worker of a service.
type worker struct {
	s    *system
	id   string
	addr string
	// handle answers a request that is meant for this worker.
	handle func(w *worker, rw http.ResponseWriter, r *http.Request)
	server *http.Server
	// number is the position of the worker in its service, from 0 on.
	number int
	// places holds a value for each request that runs.
	places chan struct{}

	mu   sync.Mutex
	runs map[string]int
}

// workerPort is the port of all workers.
const workerPort = 8080

// startWorkers starts workers of a service at the addresses from a host on, and returns their
// entries in the provider's list.
func (s *system) startWorkers(service string, count, firstHost, slots int, handle func(*worker, http.ResponseWriter, *http.Request)) ([]instance, error) {
	var list []instance
	for i := range count {
		w := &worker{
			s: s, id: fmt.Sprintf("i-%s-%d", service, i+1), addr: s.address(firstHost+i, workerPort),
			handle: handle, number: i, places: make(chan struct{}, slots), runs: make(map[string]int),
		}
		ln, err := net.Listen("tcp", w.addr)
		if err != nil {
			return nil, err
		}
		w.server = &http.Server{Handler: w}
		go func() { _ = w.server.Serve(ln) }()
		s.workers = append(s.workers, w)
		list = append(list, instance{
			ID: w.id, Service: service, Address: w.addr, Zone: zoneNames[i%len(zoneNames)], Version: "v1", Slots: slots, State: "ready", Born: birth,
		})
	}
	return list, nil
}

// ServeHTTP answers health probes and requests.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set("Cyclamenhub-Instance-Id", w.id)
	if target := r.Header.Get("Cyclamenhub-Target-Instance"); target != "" && target != w.id {
		rw.Header().Set("Cyclamenhub-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Cyclamenhub-Attempt-Id")
	if id == "" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	select {
	case w.places <- struct{}{}:
		defer func() { <-w.places }()
	case <-r.Context().Done():
		return
	}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	rw.Header().Set("Cyclamenhub-Attempt-Id", id)
	rw.Header().Set("Cyclamenhub-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1")
	w.handle(w, rw, r)
}

// stop closes the worker.
func (w *worker) stop() {
	if w.server != nil {
		_ = w.server.Close()
	}
}
