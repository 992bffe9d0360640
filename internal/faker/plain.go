package faker

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"
)

// idempotencyKeyHeader carries the caller's key for a non-idempotent request.
const idempotencyKeyHeader = "Idempotency-Key"

// Plain is a fake plain service. It executes every request that it receives,
// duplicates included, and counts the executions. It is an http.Handler.
type Plain struct {
	*Faults
	mux *http.ServeMux

	mu         sync.Mutex
	executions map[string]int
}

// NewPlain returns a Plain service. seed seeds the random choice of the requests
// that Errors faults affect.
func NewPlain(seed uint64) *Plain {
	p := &Plain{Faults: newFaults(seed), mux: http.NewServeMux(), executions: make(map[string]int)}
	p.mux.HandleFunc("/", p.handleRequest)
	p.mux.HandleFunc("/control/faults", p.serveControl)
	p.mux.HandleFunc("GET /control/executions", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Executions())
	})
	return p
}

// ServeHTTP handles one request.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Executions returns the number of executions of each request, by ExecutionKey.
func (p *Plain) Executions() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[string]int, len(p.executions))
	for k, n := range p.executions {
		counts[k] = n
	}
	return counts
}

// ExecutionKey identifies a request: by its idempotency key if there is one,
// else by its method, path and a hash of its body.
func ExecutionKey(key, method, path string, body []byte) string {
	if key != "" {
		return key
	}
	sum := sha256.Sum256(body)
	return method + " " + path + " " + hex.EncodeToString(sum[:8])
}

// plainResponse is the response body of an execution.
type plainResponse struct {
	Key        string `json:"key"`
	Executions int    `json:"executions"`
}

func (p *Plain) handleRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	selected := p.selectForRequest()
	if _, ok := selected[Errors]; ok {
		p.record(Errors)
		writeJSON(w, http.StatusInternalServerError, map[string]string{"error": "fault on command"})
		return
	}
	key := ExecutionKey(r.Header.Get(idempotencyKeyHeader), r.Method, r.URL.Path, body)
	p.mu.Lock()
	p.executions[key]++
	n := p.executions[key]
	p.mu.Unlock()
	if fault, ok := selected[Late]; ok {
		p.record(Late)
		timer := time.NewTimer(fault.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	attempt := r.Header.Get(attemptHeader)
	if _, ok := selected[Crossed]; ok {
		p.record(Crossed)
		attempt = "another-attempt"
	}
	if attempt != "" {
		w.Header().Set(attemptHeader, attempt)
	}
	writeResponse(w, r, p.Faults, selected, plainResponse{Key: key, Executions: n})
}
