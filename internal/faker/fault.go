package faker

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// FaultKind is the kind of a fault.
type FaultKind string

// The fault kinds.
const (
	// DieMidStream closes the connection after AfterTokens tokens.
	DieMidStream FaultKind = "dieMidStream"
	// Truncate ends a stream after AfterTokens tokens as if it were complete,
	// but without its [DONE] event, and cuts a JSON response after half of
	// its body.
	Truncate FaultKind = "truncate"
	// Stall sends nothing more after AfterTokens tokens and keeps the
	// connection open.
	Stall FaultKind = "stall"
	// Late delays the first byte of the response by Delay.
	Late FaultKind = "late"
	// Crossed sends the response with the id of another attempt.
	Crossed FaultKind = "crossed"
	// CrossedMidStream inserts one event of another response after
	// AfterTokens tokens.
	CrossedMidStream FaultKind = "crossedMidStream"
	// Slow multiplies the time of every decoding step by Factor and adds Delay.
	Slow FaultKind = "slow"
	// Errors responds to a fraction Share of the requests with status 500.
	Errors FaultKind = "errors"
	// DropAnswer executes the request and closes the connection without a
	// response.
	DropAnswer FaultKind = "dropAnswer"
	// Leave announces that the instance is reclaimed after Delay.
	Leave FaultKind = "leave"
)

// Fault is one fault to inject.
type Fault struct {
	Kind        FaultKind     `json:"kind"`
	AfterTokens int           `json:"afterTokens,omitempty"`
	Delay       time.Duration `json:"delayNs,omitempty"`
	Factor      float64       `json:"factor,omitempty"`
	Share       float64       `json:"share,omitempty"`
	// Count is the number of requests that the fault affects; 0 means all
	// until it is cleared.
	Count int `json:"count,omitempty"`
}

// Faults holds pending faults and counts those that took effect. It is safe for
// concurrent use.
type Faults struct {
	mu       sync.Mutex
	pending  []Fault
	injected map[FaultKind]int
	rng      *rand.Rand
}

func newFaults(seed uint64) *Faults {
	return &Faults{injected: make(map[FaultKind]int), rng: rand.New(rand.NewPCG(seed, seed))}
}

// Inject adds a pending fault.
func (f *Faults) Inject(x Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = append(f.pending, x)
}

// Clear removes all pending faults.
func (f *Faults) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = nil
}

// InjectedCount returns how often a fault of kind k took effect.
func (f *Faults) InjectedCount(k FaultKind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.injected[k]
}

// selectForRequest returns the faults that affect one request, at most one of
// each kind, and decrements their counts.
func (f *Faults) selectForRequest() map[FaultKind]Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) == 0 {
		return nil
	}
	selected := make(map[FaultKind]Fault)
	remaining := f.pending[:0]
	for _, x := range f.pending {
		if _, ok := selected[x.Kind]; ok || !f.applies(x) {
			remaining = append(remaining, x)
			continue
		}
		selected[x.Kind] = x
		if x.Count != 1 {
			x.Count = max(x.Count-1, 0)
			remaining = append(remaining, x)
		}
	}
	f.pending = remaining
	return selected
}

// applies reports whether x affects the current request. An Errors fault
// affects a request with probability x.Share.
func (f *Faults) applies(x Fault) bool { return x.Kind != Errors || f.rng.Float64() < x.Share }

// record counts a fault of kind k that took effect.
func (f *Faults) record(k FaultKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.injected[k]++
}

// serveControl handles the control endpoint: POST injects a fault, DELETE clears
// all pending faults, and other methods return the counts by kind.
func (f *Faults) serveControl(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodPost:
		var x Fault
		if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
			http.Error(w, fmt.Sprintf("fault: %v", err), http.StatusBadRequest)
			return
		}
		f.Inject(x)
	case http.MethodDelete:
		f.Clear()
	default:
		f.mu.Lock()
		defer f.mu.Unlock()
		writeJSON(w, http.StatusOK, f.injected)
	}
}

// writeJSON sends v as JSON with its Content-Length.
func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
