package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Worker is a stand-in of a backend server. It answers calls of streaming routes with events
// and other calls with one line.
type Worker struct {
	ID string
	// Unframed is whether answers have neither a length nor chunks and end with their
	// connection.
	Unframed bool
	// Events is the number of events of a stream, and Pause the time before each of them.
	Events int
	Pause  time.Duration
	// ShortEvents is the number of events of a stream under the prefix Rewrite, if it is not 0.
	ShortEvents int
	// Work is how long a call that is no stream takes.
	Work time.Duration
	// Log is called with what the worker does.
	Log func(format string, args ...any)

	mu       sync.Mutex
	listener net.Listener
	leaving  bool
}

// Listen makes the worker accept connections at an address.
func (w *Worker) Listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.listener = ln
	w.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return nil
}

// Address returns the address at which the worker listens or listened last.
func (w *Worker) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.listener.Addr().String()
}

// Refuse makes new connections refused. Those that are open live on.
func (w *Worker) Refuse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.listener.Close()
}

// SetLeaving makes every later answer say that the worker leaves.
func (w *Worker) SetLeaving() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = true
}

// isLeaving reports whether the worker leaves.
func (w *Worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// serve serves the requests of a connection.
func (w *Worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !w.answer(c, req) {
			return
		}
	}
}

// answer answers a request and reports whether the connection may carry another one.
func (w *Worker) answer(c net.Conn, req *http.Request) bool {
	id := req.Header.Get("Cyclamenhub-Attempt-Id")
	head := "Cyclamenhub-Attempt-Id: " + id + "\r\n"
	if w.isLeaving() {
		head += "Server-Leaving: 1\r\n"
	}
	if target := req.Header.Get("Cyclamenhub-Target-Instance"); target != w.ID {
		w.Log("server %s: not run %s, it is for %s", w.ID, id, target)
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Cyclamenhub-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	w.Log("server %s: runs %s", w.ID, id)
	head += fmt.Sprintf("Cyclamenhub-Response-Seal: seal-%s\r\nCyclamenhub-Server-Load: 1,0,64\r\n", id)
	isStream := strings.HasPrefix(req.URL.Path, Draft) || strings.HasPrefix(req.URL.Path, Rewrite)
	body := w.line(id)
	if isStream {
		body = w.stream(id, strings.HasPrefix(req.URL.Path, Rewrite))
		head += "Content-Type: text/event-stream\r\n"
	}
	if w.Unframed {
		head += "Connection: close\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if isStream { // The header comes with the first event.
		time.Sleep(w.Pause)
	}
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n"); err != nil {
		return false
	}
	for n, part := range body {
		if isStream && n > 0 {
			time.Sleep(w.Pause)
		}
		if !w.Unframed {
			part = fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
		if _, err := io.WriteString(c, part); err != nil {
			w.Log("server %s: %s broken off by its caller after %d parts", w.ID, id, n)
			return false
		}
	}
	w.Log("server %s: answered %s whole, %d parts", w.ID, id, len(body))
	if w.Unframed {
		return false
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// line returns the body of an answer that is no stream.
func (w *Worker) line(id string) []string {
	time.Sleep(w.Work)
	return []string{"done " + id + "\n"}
}

// stream returns the events of a stream.
func (w *Worker) stream(id string, mayBeShort bool) []string {
	events := w.Events
	if mayBeShort && w.ShortEvents > 0 {
		events = w.ShortEvents
	}
	var out []string
	for n := range events {
		out = append(out, fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n+1, id, n+1))
	}
	return out
}
