package faker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// attemptHeader carries the id of an attempt to and from a backend server.
	attemptHeader = "Cyclamen-Attempt-Id"
	// leavingHeader announces in how long an instance is reclaimed.
	leavingHeader = "Cyclamen-Leaving"
	// defaultTokens is the length of an answer whose request names none.
	defaultTokens = 16
	// promptTokenBytes approximates the bytes of one prompt token.
	promptTokenBytes = 4
	// batchSlowdown is the growth of the step time per running request.
	batchSlowdown = 0.01
)

// EngineConfig describes an Engine.
type EngineConfig struct {
	Name    string
	Version string
	// Seed drives the random faults.
	Seed uint64
	// StepTime is the time of one decoding step with a batch of one.
	StepTime time.Duration
	// PromptTokenTime is the time to compute one prompt token.
	PromptTokenTime time.Duration
	// TokensPerEvent is how many tokens one event carries; 0 means 1.
	TokensPerEvent int
}

// EngineStats counts what an Engine did.
type EngineStats struct {
	Calls            int64 `json:"calls"`
	Running          int64 `json:"running"`
	GeneratedTokens  int64 `json:"generatedTokens"`
	RecomputedTokens int64 `json:"recomputedTokens"`
	Resumed          int64 `json:"resumed"`
	Cancelled        int64 `json:"cancelled"`
}

// Engine is a fake model engine.
type Engine struct {
	*Faults
	cfg EngineConfig
	mux *http.ServeMux

	calls, running, generated, recomputed, resumed, cancelled atomic.Int64
	leaving                                                   atomic.Int64
}

// NewEngine returns an Engine that is ready to serve.
func NewEngine(cfg EngineConfig) *Engine {
	cfg.TokensPerEvent = max(cfg.TokensPerEvent, 1)
	e := &Engine{Faults: newFaults(cfg.Seed), cfg: cfg, mux: http.NewServeMux()}
	e.mux.HandleFunc("POST /v1/chat/completions", e.complete)
	e.mux.HandleFunc("POST /v1/completions", e.complete)
	e.mux.HandleFunc("/control/faults", e.serveControl)
	e.mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Stats())
	})
	return e
}

// ServeHTTP answers one call.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Stats returns what the engine did so far.
func (e *Engine) Stats() EngineStats {
	return EngineStats{
		Calls: e.calls.Load(), Running: e.running.Load(), GeneratedTokens: e.generated.Load(),
		RecomputedTokens: e.recomputed.Load(), Resumed: e.resumed.Load(), Cancelled: e.cancelled.Load(),
	}
}

// message is one message of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// resume names the text of an answer that was delivered already.
type resume struct {
	Text string `json:"text"`
}

// engineRequest is what a caller asks the engine for.
type engineRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Resume    *resume   `json:"resume"`
}

// prompt returns all that the answer depends on.
func (q *engineRequest) prompt() string {
	if len(q.Messages) == 0 {
		return q.Prompt
	}
	var s strings.Builder
	for _, m := range q.Messages {
		s.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return s.String()
}

// ChatPrompt returns the prompt that Text takes for a chat of one user message.
func ChatPrompt(content string) string { return "user: " + content + "\n" }

// generation is one answer in the making.
type generation struct {
	engine  *Engine
	hits    map[FaultKind]Fault
	chat    bool
	model   string
	id      string
	hash    uint64
	from    int
	to      int
	prompts int
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	e.calls.Add(1)
	e.running.Add(1)
	defer e.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	var q engineRequest
	if err == nil {
		err = json.Unmarshal(body, &q)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g, ok := e.generation(r, &q)
	if !ok {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "the resume text is no beginning of the answer"})
		return
	}
	if !g.begin(w, r) {
		return
	}
	if q.Stream {
		g.stream(w, r)
		return
	}
	g.whole(w, r)
}

// generation prepares the answer to q.
func (e *Engine) generation(r *http.Request, q *engineRequest) (*generation, bool) {
	prompt := q.prompt()
	g := &generation{
		engine: e, hits: e.take(), chat: strings.HasSuffix(r.URL.Path, "chat/completions"),
		model: q.Model, id: "cmpl-" + r.Header.Get(attemptHeader), hash: xxhash.Sum64String(prompt),
		to: q.MaxTokens, prompts: len(prompt) / promptTokenBytes,
	}
	if g.to <= 0 {
		g.to = defaultTokens
	}
	if q.Resume == nil {
		return g, true
	}
	n, ok := tokensOf(g.hash, q.Resume.Text)
	g.from = min(n, g.to)
	e.resumed.Add(1)
	e.recomputed.Add(int64(g.prompts + n))
	return g, ok
}

// begin brings about the faults that come before the answer, and the time to
// compute the prompt. It reports whether the answer may go on.
func (g *generation) begin(w http.ResponseWriter, r *http.Request) bool {
	if _, ok := g.hits[Errors]; ok {
		g.engine.came(Errors)
		writeJSON(w, http.StatusInternalServerError, map[string]string{"error": "fault on command"})
		return false
	}
	wait := time.Duration(g.prompts+g.from) * g.engine.cfg.PromptTokenTime
	if x, ok := g.hits[Late]; ok {
		g.engine.came(Late)
		wait += x.Delay
	}
	if x, ok := g.hits[Leave]; ok {
		g.engine.came(Leave)
		g.engine.leaving.Store(time.Now().Add(x.Delay).UnixNano())
	}
	if at := g.engine.leaving.Load(); at != 0 {
		w.Header().Set(leavingHeader, time.Until(time.Unix(0, at)).Round(time.Millisecond).String())
	}
	attempt := r.Header.Get(attemptHeader)
	if _, ok := g.hits[Crossed]; ok {
		g.engine.came(Crossed)
		attempt = "another-attempt"
	}
	if attempt != "" {
		w.Header().Set(attemptHeader, attempt)
	}
	return g.sleep(r.Context(), wait)
}

// sleep waits for d and reports whether the caller is still there.
func (g *generation) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		g.engine.cancelled.Add(1)
		return false
	}
}

// step waits for one decoding step of the present batch.
func (g *generation) step(ctx context.Context) bool {
	batch := float64(g.engine.running.Load() - 1)
	d := time.Duration(float64(g.engine.cfg.StepTime) * (1 + batch*batchSlowdown))
	if x, ok := g.hits[Slow]; ok {
		g.engine.came(Slow)
		d = time.Duration(float64(d)*x.Factor) + x.Delay
	}
	return g.sleep(ctx, d)
}

// fault brings about the faults that are due after n tokens of this call. It
// reports whether the answer may go on.
func (g *generation) fault(ctx context.Context, n int) bool {
	if x, ok := g.hits[DieMidStream]; ok && n >= x.AfterTokens {
		g.engine.came(DieMidStream)
		panic(http.ErrAbortHandler)
	}
	if x, ok := g.hits[Truncate]; ok && n >= x.AfterTokens {
		g.engine.came(Truncate)
		return false
	}
	if x, ok := g.hits[Stall]; ok && n >= x.AfterTokens {
		g.engine.came(Stall)
		<-ctx.Done()
		return false
	}
	return true
}

// stream sends the answer as server-sent events.
func (g *generation) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	var buf []byte
	for n := g.from; n < g.to; n += g.engine.cfg.TokensPerEvent {
		if !g.fault(r.Context(), n-g.from) || !g.step(r.Context()) {
			return
		}
		end := min(n+g.engine.cfg.TokensPerEvent, g.to)
		buf = g.appendEvent(buf[:0], n, end)
		if x, ok := g.hits[CrossedMidStream]; ok && n-g.from == x.AfterTokens {
			g.engine.came(CrossedMidStream)
			other := generation{id: "cmpl-other", chat: g.chat, model: g.model, to: g.to, hash: g.hash + 1}
			buf = append(other.appendEvent(nil, n, end), buf...)
		}
		if _, err := w.Write(buf); err != nil {
			g.engine.cancelled.Add(1)
			return
		}
		_ = rc.Flush()
		g.engine.generated.Add(int64(end - n))
	}
	if !g.fault(r.Context(), g.to-g.from) {
		return
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// appendEvent appends the event that holds tokens n to end.
func (g *generation) appendEvent(b []byte, n, end int) []byte {
	var text strings.Builder
	for i := n; i < end; i++ {
		text.WriteString(token(g.hash, i))
	}
	quoted, _ := json.Marshal(text.String())
	finish := "null"
	if end == g.to {
		finish = `"length"`
	}
	if g.chat {
		return fmt.Appendf(b, `data: {"id":"%s","object":"chat.completion.chunk","created":1,"model":"%s","choices":[{"index":0,"delta":{"content":%s},"finish_reason":%s}]}`+"\n\n",
			g.id, g.model, quoted, finish)
	}
	return fmt.Appendf(b, `data: {"id":"%s","object":"text_completion","created":1,"model":"%s","choices":[{"index":0,"text":%s,"finish_reason":%s}]}`+"\n\n",
		g.id, g.model, quoted, finish)
}

// whole sends the answer as one JSON object.
func (g *generation) whole(w http.ResponseWriter, r *http.Request) {
	var text strings.Builder
	for n := g.from; n < g.to; n++ {
		if !g.step(r.Context()) {
			return
		}
		text.WriteString(token(g.hash, n))
	}
	g.engine.generated.Add(int64(g.to - g.from))
	choice := map[string]any{"index": 0, "finish_reason": "length"}
	object := "text_completion"
	if g.chat {
		object = "chat.completion"
		choice["message"] = message{Role: "assistant", Content: text.String()}
	} else {
		choice["text"] = text.String()
	}
	send(w, r, g.engine.Faults, g.hits, map[string]any{
		"id": g.id, "object": object, "created": 1, "model": g.model, "choices": []any{choice},
		"usage": map[string]int{"prompt_tokens": g.prompts, "completion_tokens": g.to, "total_tokens": g.prompts + g.to},
	})
}

// send sends v as JSON, cut in the middle where a fault says so.
func send(w http.ResponseWriter, r *http.Request, f *Faults, hits map[FaultKind]Fault, v any) {
	if _, ok := hits[DropAnswer]; ok {
		f.came(DropAnswer)
		panic(http.ErrAbortHandler)
	}
	if _, ok := hits[Stall]; ok {
		f.came(Stall)
		<-r.Context().Done()
		return
	}
	if _, ok := hits[Truncate]; !ok {
		writeJSON(w, http.StatusOK, v)
		return
	}
	f.came(Truncate)
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	_, _ = w.Write(b[:len(b)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
