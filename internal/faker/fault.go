package faker

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// FaultKind names a way to fail.
type FaultKind string

// The kinds of fault.
const (
	// DieMidStream closes the connection after AfterTokens tokens.
	DieMidStream FaultKind = "dieMidStream"
	// Truncate ends the answer early as if it were complete.
	Truncate FaultKind = "truncate"
	// Stall sends nothing more after AfterTokens tokens, and never ends.
	Stall FaultKind = "stall"
	// Late waits for Delay before the first byte of the answer.
	Late FaultKind = "late"
	// Crossed answers under the id of another attempt.
	Crossed FaultKind = "crossed"
	// CrossedMidStream sends one event of another answer after AfterTokens.
	CrossedMidStream FaultKind = "crossedMidStream"
	// Slow multiplies every step time by Factor and adds Delay.
	Slow FaultKind = "slow"
	// Errors answers a share of the calls with status 500.
	Errors FaultKind = "errors"
	// DropAnswer executes the call and closes the connection unanswered.
	DropAnswer FaultKind = "dropAnswer"
	// Leave announces that the instance is reclaimed in Delay.
	Leave FaultKind = "leave"
)

// Fault is one fault to bring about.
type Fault struct {
	Kind        FaultKind     `json:"kind"`
	AfterTokens int           `json:"afterTokens,omitempty"`
	Delay       time.Duration `json:"delayNs,omitempty"`
	Factor      float64       `json:"factor,omitempty"`
	Share       float64       `json:"share,omitempty"`
	// Count is how many calls it hits; 0 means all until it is cleared.
	Count int `json:"count,omitempty"`
}

// Faults hands out injected faults and counts those that came about.
type Faults struct {
	mu      sync.Mutex
	pending []Fault
	hit     map[FaultKind]int
	rng     *rand.Rand
}

func newFaults(seed uint64) *Faults {
	return &Faults{hit: make(map[FaultKind]int), rng: rand.New(rand.NewPCG(seed, seed))}
}

// Inject adds a fault.
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

// Hit returns how often a fault of that kind came about.
func (f *Faults) Hit(k FaultKind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hit[k]
}

// take returns the faults that hit one call.
func (f *Faults) take() map[FaultKind]Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) == 0 {
		return nil
	}
	hits := make(map[FaultKind]Fault)
	kept := f.pending[:0]
	for _, x := range f.pending {
		if _, taken := hits[x.Kind]; taken || !f.strikes(x) {
			kept = append(kept, x)
			continue
		}
		hits[x.Kind] = x
		if x.Count != 1 {
			x.Count = max(x.Count-1, 0)
			kept = append(kept, x)
		}
	}
	f.pending = kept
	return hits
}

// strikes draws whether x hits the present call.
func (f *Faults) strikes(x Fault) bool { return x.Kind != Errors || f.rng.Float64() < x.Share }

// came counts a fault that came about.
func (f *Faults) came(k FaultKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hit[k]++
}

// serveControl handles the control endpoint.
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
		writeJSON(w, http.StatusOK, f.hit)
	}
}

// writeJSON sends v with its full length declared.
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
