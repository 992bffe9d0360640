package faker

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"sync"
	"time"
)

// keyHeader carries the caller's name for a non-idempotent action.
const keyHeader = "Idempotency-Key"

// Plain is a fake plain service. It executes every call that reaches it, also
// when the same call comes twice, and counts the executions.
type Plain struct {
	*Faults
	mux *http.ServeMux

	mu         sync.Mutex
	executions map[string]int
}

// NewPlain returns a Plain service that is ready to serve.
func NewPlain(seed uint64) *Plain {
	p := &Plain{Faults: newFaults(seed), mux: http.NewServeMux(), executions: make(map[string]int)}
	p.mux.HandleFunc("/", p.execute)
	p.mux.HandleFunc("/control/faults", p.serveControl)
	p.mux.HandleFunc("GET /control/executions", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, p.Executions())
	})
	return p
}

// ServeHTTP answers one call.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Executions returns how often each call ran, by ExecutionKey.
func (p *Plain) Executions() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := make(map[string]int, len(p.executions))
	for k, n := range p.executions {
		c[k] = n
	}
	return c
}

// ExecutionKey names a call by its idempotency key, or else by its method, path
// and body.
func ExecutionKey(key, method, path string, body []byte) string {
	if key != "" {
		return key
	}
	sum := sha256.Sum256(body)
	return method + " " + path + " " + hex.EncodeToString(sum[:8])
}

// plainAnswer is what an execution answers.
type plainAnswer struct {
	Key        string `json:"key"`
	Executions int    `json:"executions"`
}

func (p *Plain) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	hits := p.take()
	if _, ok := hits[Errors]; ok {
		p.came(Errors)
		writeJSON(w, http.StatusInternalServerError, map[string]string{"error": "fault on command"})
		return
	}
	key := ExecutionKey(r.Header.Get(keyHeader), r.Method, r.URL.Path, body)
	p.mu.Lock()
	p.executions[key]++
	n := p.executions[key]
	p.mu.Unlock()
	if x, ok := hits[Late]; ok {
		p.came(Late)
		wait := time.NewTimer(x.Delay)
		defer wait.Stop()
		select {
		case <-wait.C:
		case <-r.Context().Done():
		}
	}
	attempt := r.Header.Get(attemptHeader)
	if _, ok := hits[Crossed]; ok {
		p.came(Crossed)
		attempt = "another-attempt"
	}
	if attempt != "" {
		w.Header().Set(attemptHeader, attempt)
	}
	send(w, r, p.Faults, hits, plainAnswer{Key: key, Executions: n})
}
