package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// instance is an entry of the provider's list of workers.
type instance struct {
	ID              string `json:"id"`
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`
	ColdRemainingMs int    `json:"coldRemainingMs"`
	Spot            bool   `json:"spot,omitempty"`
	LeavesMs        int64  `json:"leaves_ms,omitempty"`
	Born            int64  `json:"born"`
}

// cloud is the provider: it lists the workers and accepts the calls of the duties.
type cloud struct {
	s       *system
	address string

	mu   sync.Mutex
	list []instance
}

// newCloud starts a provider.
func newCloud(s *system) (*cloud, error) {
	c := &cloud{s: s, address: s.address(40, cloudPort)}
	ln, err := net.Listen("tcp", c.address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", c.serveList)
	mux.HandleFunc("POST /usage", c.serveDuty)
	mux.HandleFunc("POST /scale", c.serveDuty)
	go func() { _ = http.Serve(ln, mux) }()
	return c, nil
}

// set replaces the list.
func (c *cloud) set(list []instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = list
}

// serveList answers the list in one page.
func (c *cloud) serveList(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": c.list, "next": nil})
}

// serveDuty accepts a call of a duty.
func (c *cloud) serveDuty(w http.ResponseWriter, r *http.Request) {
	var body map[string]any
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.s.log("duty %s holder %s fence %s %v", r.URL.Path, r.Header.Get("Cyclamenhub-Duty-Holder"), r.Header.Get("Cyclamenhub-Fencing-Token"), body)
	w.WriteHeader(http.StatusOK)
}

// birth is the start of the workers.
var birth = time.Now().UnixMilli()
