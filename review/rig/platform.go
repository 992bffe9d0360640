package rig

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is an entry of the platform's list of backend servers.
type Server struct {
	ID              string  `json:"id"`
	Service         string  `json:"service"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Version         string  `json:"version"`
	Slots           int     `json:"slots"`
	State           string  `json:"state"`
	ColdRemainingMs float64 `json:"coldRemainingMs"`
	Spot            bool    `json:"spot,omitempty"`
	LeavesMs        float64 `json:"leaves_ms,omitempty"`
	Born            int64   `json:"born"`
}

// Order is a call of the holder of a duty.
type Order struct {
	At                          time.Time
	Path, Holder, Fencing, Body string
}

// listLag is by how much the list lags.
const listLag = 800 * time.Millisecond

// Platform is a stand-in of the platform's interface.
type Platform struct {
	listener net.Listener
	server   *http.Server

	mu      sync.Mutex
	servers []Server
	orders  []Order
}

// NewPlatform returns a platform at an address with an empty list.
func NewPlatform(ip string) (*Platform, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	p := &Platform{listener: ln}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", p.list)
	mux.HandleFunc("POST /usage", p.order)
	mux.HandleFunc("POST /scale", p.order)
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = p.server.Serve(ln) }()
	return p, nil
}

// Address returns the address of the interface.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// Close ends the platform.
func (p *Platform) Close() { _ = p.server.Close() }

// SetServers replaces the list, which shows it after the lag.
func (p *Platform) SetServers(list []Server) {
	list = append([]Server{}, list...)
	time.AfterFunc(listLag, func() { p.SetServersNow(list) })
}

// SetServersNow replaces the list at once, as before the deployment starts.
func (p *Platform) SetServersNow(list []Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = append([]Server{}, list...)
}

// Orders returns the calls of holders of duties.
func (p *Platform) Orders() []Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Order{}, p.orders...)
}

// list answers with the list.
func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	list := append([]Server{}, p.servers...)
	p.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": list, "next": nil})
}

// order accepts a call of a holder of a duty.
func (p *Platform) order(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orders = append(p.orders, Order{time.Now(), r.URL.Path, r.Header.Get("Cyclamenhub-Duty-Holder"), r.Header.Get("Cyclamenhub-Fencing-Token"), string(b)})
	w.WriteHeader(http.StatusOK)
}
