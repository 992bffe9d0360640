package bed

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Entry is an entry of the platform's list of backend servers.
type Entry struct {
	ID              string `json:"id"`
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`
	ColdRemainingMs int    `json:"coldRemainingMs"`
	Born            int64  `json:"born"`
}

// Order is a call of a holder of a duty.
type Order struct {
	Path, Holder, Fence, Body string
}

// Cloud is the platform's API. It is safe for concurrent use.
type Cloud struct {
	bed    *Bed
	record *Record

	mu      sync.Mutex
	list    []Entry
	isDown  bool
	latency time.Duration
	orders  []Order
	reads   []*Read
}

// Read is a call for the list of backend servers.
type Read struct {
	// From is the machine that called.
	From string
	// At is when the call came, with which the answer was made, and DoneAt when the answer
	// was sent or the caller had gone; it is 0 until then.
	At, DoneAt time.Duration
	// IsCancelled is set if the caller had gone before the answer.
	IsCancelled bool
}

// List replaces the list of backend servers.
func (c *Cloud) List(entries ...Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = entries
}

// SetDown sets whether every call is answered 503.
func (c *Cloud) SetDown(down bool) {
	c.record.Add("platform: down: %v", down)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isDown = down
}

// SetLatency sets the time that each call for the list takes from now on.
func (c *Cloud) SetLatency(d time.Duration) {
	c.record.Add("platform: a call for the list takes %v", d)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latency = d
}

// Reads returns the calls for the list, in the order of their arrival.
func (c *Cloud) Reads() []Read {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Read, len(c.reads))
	for i, r := range c.reads {
		out[i] = *r
	}
	return out
}

// answerRead answers a call for the list with the list as it is when the call comes.
func (c *Cloud) answerRead(w http.ResponseWriter, r *http.Request) {
	from := ""
	if conn, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		from = c.bed.OwnerOf(conn)
	}
	c.mu.Lock()
	read := &Read{From: from, At: c.record.Now()}
	c.reads = append(c.reads, read)
	list, latency := append([]Entry{}, c.list...), c.latency
	c.mu.Unlock()
	t := time.NewTimer(latency)
	defer t.Stop()
	cancelled := false
	select {
	case <-t.C:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": list, "next": nil})
	case <-r.Context().Done():
		cancelled = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	read.DoneAt, read.IsCancelled = c.record.Now(), cancelled
	c.record.Add("platform: list for %s, asked for at %.3f s, caller gone: %v", from, read.At.Seconds(), cancelled)
}

// Orders returns the calls of holders of duties, in the order of their arrival.
func (c *Cloud) Orders() []Order {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Order{}, c.orders...)
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	c.mu.Lock()
	isDown := c.isDown
	c.mu.Unlock()
	switch {
	case isDown:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/instances":
		c.answerRead(w, r)
	default:
		c.mu.Lock()
		defer c.mu.Unlock()
		o := Order{Path: r.URL.Path, Holder: r.Header.Get("Cyclamenhub-Duty-Holder"), Fence: r.Header.Get("Cyclamenhub-Fencing-Token"), Body: string(body)}
		c.orders = append(c.orders, o)
		c.record.Add("platform: %s by %s, fence %s: %s", o.Path, o.Holder, o.Fence, o.Body)
	}
}
