package bed

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Headers of requests and answers.
const (
	HeaderID       = "Cyclamenhub-Attempt-Id"
	HeaderSeal     = "Cyclamenhub-Response-Seal"
	HeaderTarget   = "Cyclamenhub-Target-Instance"
	HeaderDeadline = "Cyclamenhub-Deadline-Ms"
	HeaderLeaving  = "Server-Leaving"
	HeaderBrittle  = "Server-Brittle"
	HeaderLimit    = "Server-Limit"
)

// RequestHeader returns the header of a client's request.
func RequestHeader(id string, deadline time.Duration) http.Header {
	return http.Header{
		HeaderID: {id}, HeaderDeadline: {fmt.Sprint(deadline.Milliseconds())}, "Authorization": {"Token " + Key},
	}
}

// Run is a request that a worker began to run.
type Run struct {
	// ID is that of the request, Worker and From are the worker and the machine that
	// sent the request there.
	ID, Worker, From string
	At               time.Duration
}

// Worker is a backend server that answers every request with one line after Work. It is
// safe for concurrent use.
type Worker struct {
	ID   string
	Work time.Duration

	bed     *Bed
	address string
	server  *http.Server

	mu        sync.Mutex
	ln        net.Listener
	isLeaving bool
	// cut is the machine whose connections are reset, or "".
	cut string
	// notices are headers of every answer.
	notices map[string]string
	conns   map[net.Conn]string
	runs    []Run
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// NewWorker starts a worker at the address with the given last byte.
func (b *Bed) NewWorker(id string, host int, work time.Duration) (*Worker, error) {
	w := &Worker{ID: id, Work: work, bed: b, address: b.Address(host) + ":0", notices: make(map[string]string), conns: make(map[net.Conn]string)}
	w.server = &http.Server{
		Handler: w, ReadHeaderTimeout: readyTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			w.findOwner(c)
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateClosed {
				w.mu.Lock()
				defer w.mu.Unlock()
				delete(w.conns, c)
			}
		},
	}
	b.OnClose(func() { _ = w.server.Close() })
	return w, w.Accept()
}

// findOwner returns the machine that opened a connection, if owners are to be found out.
func (w *Worker) findOwner(c net.Conn) string {
	w.mu.Lock()
	owner := w.conns[c]
	w.mu.Unlock()
	if owner == "" {
		owner = w.bed.OwnerOf(c)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns[c] = owner
	return owner
}

// Entry returns the worker's entry in the list.
func (w *Worker) Entry() Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := "ready"
	if w.isLeaving {
		state = "draining"
	}
	return Entry{ID: w.ID, Service: Service, Address: w.address, Zone: "be-central-a", Version: "v1", Slots: 6, State: state}
}

// Accept accepts new connections again.
func (w *Worker) Accept() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	ln, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.ln, w.address, w.cut = ln, ln.Addr().String(), ""
	go func() { _ = w.server.Serve(ln) }()
	return nil
}

// Refuse refuses new connections and resets the open ones of a machine.
func (w *Worker) Refuse(machine string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = machine
	_ = w.ln.Close()
	for c, owner := range w.conns {
		if owner == machine {
			reset(c)
		}
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Leave makes every later answer say that the worker leaves.
func (w *Worker) Leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isLeaving = true
	w.bed.Record.Add("%s: leaves, and says so in all answers", w.ID)
}

// Announce makes every later answer bear a header; an empty value ends that.
func (w *Worker) Announce(header, value string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bed.Record.Add("%s: says %s: %q in all answers from now on", w.ID, header, value)
	w.notices[header] = value
}

// End ends the worker: its connections close, and new ones are refused.
func (w *Worker) End() {
	w.bed.Record.Add("%s: ends", w.ID)
	_ = w.server.Close()
}

// Runs returns the requests that the worker ran.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run{}, w.runs...)
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(HeaderID)
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	owner := w.findOwner(c)
	h := rw.Header()
	h.Set(HeaderID, id)
	if target := r.Header.Get(HeaderTarget); target != "" && target != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	if w.cut != "" && w.cut == owner {
		w.mu.Unlock()
		panic(http.ErrAbortHandler) // The request was on its way when the cut began.
	}
	w.bed.Record.Add("%s: runs %s from %s", w.ID, id, owner)
	w.runs = append(w.runs, Run{ID: id, Worker: w.ID, From: owner, At: w.bed.Record.Now()})
	w.mu.Unlock()
	time.Sleep(w.Work)
	w.mu.Lock()
	if w.isLeaving {
		h.Set(HeaderLeaving, "1")
	}
	for name, value := range w.notices {
		if value != "" {
			h.Set(name, value)
		}
	}
	w.mu.Unlock()
	h.Set(HeaderSeal, "seal-"+w.ID+"-"+id)
	fmt.Fprintf(rw, "%s ran %s", w.ID, id)
}
