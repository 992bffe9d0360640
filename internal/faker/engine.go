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

	"cyclamenhub.org/timer"
)

const (
	// attemptHeader carries the id of an attempt to a backend server and back.
	attemptHeader = "Cyclamen-Attempt-Id"
	// reclaimHeader carries the time that is left until the instance is
	// reclaimed.
	reclaimHeader = "Cyclamen-Leaving"
	// defaultTokens is the response length, in tokens, if the request sets none.
	defaultTokens = 16
	// promptTokenBytes is the approximate size of one prompt token in bytes.
	promptTokenBytes = 4
	// slowdownPerRequest is the relative increase of the step time for each
	// additional running request.
	slowdownPerRequest = 0.01
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	Name    string
	Version string
	// Seed seeds the random choice of the requests that Errors faults affect.
	Seed uint64
	// StepTime is the duration of one decoding step at batch size 1.
	StepTime time.Duration
	// PromptTokenTime is the time to process one prompt token.
	PromptTokenTime time.Duration
	// TokensPerEvent is the number of tokens in one event; 0 means 1.
	TokensPerEvent int
}

// EngineStats holds the counters of an Engine.
type EngineStats struct {
	Calls            int64 `json:"calls"`
	Running          int64 `json:"running"`
	GeneratedTokens  int64 `json:"generatedTokens"`
	RecomputedTokens int64 `json:"recomputedTokens"`
	Resumed          int64 `json:"resumed"`
	Cancelled        int64 `json:"cancelled"`
}

// Engine is a fake model engine. It is an http.Handler.
type Engine struct {
	*Faults
	cfg EngineConfig
	mux *http.ServeMux

	calls, running, generated, recomputed, resumed, cancelled atomic.Int64
	reclaimAt                                                 atomic.Int64
}

// NewEngine returns an Engine that serves the completion and control endpoints.
func NewEngine(cfg EngineConfig) *Engine {
	cfg.TokensPerEvent = max(cfg.TokensPerEvent, 1)
	e := &Engine{Faults: newFaults(cfg.Seed), cfg: cfg, mux: http.NewServeMux()}
	e.mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	e.mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	e.mux.HandleFunc("/control/faults", e.serveControl)
	e.mux.HandleFunc("GET /control/stats", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, e.Stats())
	})
	return e
}

// ServeHTTP handles one request.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Stats returns the current values of the counters.
func (e *Engine) Stats() EngineStats {
	return EngineStats{
		Calls: e.calls.Load(), Running: e.running.Load(), GeneratedTokens: e.generated.Load(),
		RecomputedTokens: e.recomputed.Load(), Resumed: e.resumed.Load(), Cancelled: e.cancelled.Load(),
	}
}

// message is one chat message.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// resume holds the part of a response that was already delivered.
type resume struct {
	Text string `json:"text"`
}

// completionRequest is the body of a completion request.
type completionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt"`
	Messages  []message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
	Resume    *resume   `json:"resume"`
}

// prompt returns the text that determines the response: the prompt, or the chat
// messages joined.
func (q *completionRequest) prompt() string {
	if len(q.Messages) == 0 {
		return q.Prompt
	}
	var s strings.Builder
	for _, m := range q.Messages {
		s.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return s.String()
}

// ChatPrompt returns the prompt to pass to Text for a chat with one user
// message.
func ChatPrompt(content string) string { return "user: " + content + "\n" }

// generation is the state of one response while it is generated.
type generation struct {
	engine       *Engine
	faults       map[FaultKind]Fault
	chat         bool
	model        string
	id           string
	promptHash   uint64
	firstToken   int
	endToken     int
	promptTokens int
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	e.calls.Add(1)
	e.running.Add(1)
	defer e.running.Add(-1)
	body, err := io.ReadAll(r.Body)
	var q completionRequest
	if err == nil {
		err = json.Unmarshal(body, &q)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g, ok := e.newGeneration(r, &q)
	if !ok {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "the resume text is no beginning of the answer"})
		return
	}
	if !g.prepare(w, r) {
		return
	}
	if q.Stream {
		g.writeStream(w, r)
		return
	}
	g.writeObject(w, r)
}

// newGeneration returns the generation for q. It reports false if the resume
// text is not a prefix of the response.
func (e *Engine) newGeneration(r *http.Request, q *completionRequest) (*generation, bool) {
	prompt := q.prompt()
	g := &generation{
		engine: e, faults: e.selectForRequest(), chat: strings.HasSuffix(r.URL.Path, "chat/completions"),
		model: q.Model, id: "cmpl-" + r.Header.Get(attemptHeader), promptHash: xxhash.Sum64String(prompt),
		endToken: q.MaxTokens, promptTokens: len(prompt) / promptTokenBytes,
	}
	if g.endToken <= 0 {
		g.endToken = defaultTokens
	}
	if q.Resume == nil {
		return g, true
	}
	n, ok := countTokens(g.promptHash, q.Resume.Text)
	g.firstToken = min(n, g.endToken)
	e.resumed.Add(1)
	e.recomputed.Add(int64(g.promptTokens + n))
	return g, ok
}

// prepare applies the faults that take effect before the response, sets the
// response headers and waits for the prompt to be processed. It reports whether
// to continue with the response.
func (g *generation) prepare(w http.ResponseWriter, r *http.Request) bool {
	if _, ok := g.faults[Errors]; ok {
		g.engine.record(Errors)
		writeJSON(w, http.StatusInternalServerError, map[string]string{"error": "fault on command"})
		return false
	}
	wait := time.Duration(g.promptTokens+g.firstToken) * g.engine.cfg.PromptTokenTime
	if fault, ok := g.faults[Late]; ok {
		g.engine.record(Late)
		wait += fault.Delay
	}
	if fault, ok := g.faults[Leave]; ok {
		g.engine.record(Leave)
		g.engine.reclaimAt.Store(time.Now().Add(fault.Delay).UnixNano())
	}
	if at := g.engine.reclaimAt.Load(); at != 0 {
		w.Header().Set(reclaimHeader, time.Until(time.Unix(0, at)).Round(time.Millisecond).String())
	}
	attempt := r.Header.Get(attemptHeader)
	if _, ok := g.faults[Crossed]; ok {
		g.engine.record(Crossed)
		attempt = "another-attempt"
	}
	if attempt != "" {
		w.Header().Set(attemptHeader, attempt)
	}
	return g.sleep(r.Context(), wait)
}

// sleep waits for d. It reports false, and counts a cancelled request, if ctx
// ends first.
func (g *generation) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	if timer.Sleep(ctx, d) {
		return true
	}
	g.engine.cancelled.Add(1)
	return false
}

// decodeStep waits for one decoding step at the current batch size. It reports
// false if ctx ends first.
func (g *generation) decodeStep(ctx context.Context) bool {
	batch := float64(g.engine.running.Load() - 1)
	d := time.Duration(float64(g.engine.cfg.StepTime) * (1 + batch*slowdownPerRequest))
	if fault, ok := g.faults[Slow]; ok {
		g.engine.record(Slow)
		d = time.Duration(float64(d)*fault.Factor) + fault.Delay
	}
	return g.sleep(ctx, d)
}

// applyStreamFaults applies the faults that are due after n tokens of this
// request. It reports whether to continue with the response.
func (g *generation) applyStreamFaults(ctx context.Context, n int) bool {
	if fault, ok := g.faults[DieMidStream]; ok && n >= fault.AfterTokens {
		g.engine.record(DieMidStream)
		panic(http.ErrAbortHandler)
	}
	if fault, ok := g.faults[Truncate]; ok && n >= fault.AfterTokens {
		g.engine.record(Truncate)
		return false
	}
	if fault, ok := g.faults[Stall]; ok && n >= fault.AfterTokens {
		g.engine.record(Stall)
		<-ctx.Done()
		return false
	}
	return true
}

// writeStream sends the response as server-sent events.
func (g *generation) writeStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	_ = rc.Flush()
	var buf []byte
	for n := g.firstToken; n < g.endToken; n += g.engine.cfg.TokensPerEvent {
		if !g.applyStreamFaults(r.Context(), n-g.firstToken) || !g.decodeStep(r.Context()) {
			return
		}
		end := min(n+g.engine.cfg.TokensPerEvent, g.endToken)
		buf = g.appendEvent(buf[:0], n, end)
		if fault, ok := g.faults[CrossedMidStream]; ok && n-g.firstToken == fault.AfterTokens {
			g.engine.record(CrossedMidStream)
			other := generation{id: "cmpl-other", chat: g.chat, model: g.model, endToken: g.endToken, promptHash: g.promptHash + 1}
			buf = append(other.appendEvent(nil, n, end), buf...)
		}
		if _, err := w.Write(buf); err != nil {
			g.engine.cancelled.Add(1)
			return
		}
		_ = rc.Flush()
		g.engine.generated.Add(int64(end - n))
	}
	if !g.applyStreamFaults(r.Context(), g.endToken-g.firstToken) {
		return
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
}

// appendEvent appends the event with the tokens in the range [n, end) to b.
func (g *generation) appendEvent(b []byte, n, end int) []byte {
	var text strings.Builder
	for i := n; i < end; i++ {
		text.WriteString(token(g.promptHash, i))
	}
	quoted, _ := json.Marshal(text.String())
	finish := "null"
	if end == g.endToken {
		finish = `"length"`
	}
	if g.chat {
		return fmt.Appendf(b, `data: {"id":"%s","object":"chat.completion.chunk","created":1,"model":"%s","choices":[{"index":0,"delta":{"content":%s},"finish_reason":%s}]}`+"\n\n",
			g.id, g.model, quoted, finish)
	}
	return fmt.Appendf(b, `data: {"id":"%s","object":"text_completion","created":1,"model":"%s","choices":[{"index":0,"text":%s,"finish_reason":%s}]}`+"\n\n",
		g.id, g.model, quoted, finish)
}

// writeObject sends the response as one JSON object.
func (g *generation) writeObject(w http.ResponseWriter, r *http.Request) {
	var text strings.Builder
	for n := g.firstToken; n < g.endToken; n++ {
		if !g.decodeStep(r.Context()) {
			return
		}
		text.WriteString(token(g.promptHash, n))
	}
	g.engine.generated.Add(int64(g.endToken - g.firstToken))
	choice := map[string]any{"index": 0, "finish_reason": "length"}
	object := "text_completion"
	if g.chat {
		object = "chat.completion"
		choice["message"] = message{Role: "assistant", Content: text.String()}
	} else {
		choice["text"] = text.String()
	}
	writeResponse(w, r, g.engine.Faults, g.faults, map[string]any{
		"id": g.id, "object": object, "created": 1, "model": g.model, "choices": []any{choice},
		"usage": map[string]int{"prompt_tokens": g.promptTokens, "completion_tokens": g.endToken, "total_tokens": g.promptTokens + g.endToken},
	})
}

// writeResponse sends v as JSON. A DropAnswer fault closes the connection
// instead, a Stall fault sends nothing until the client disconnects, and a
// Truncate fault closes the connection after half of the body.
func writeResponse(w http.ResponseWriter, r *http.Request, f *Faults, selected map[FaultKind]Fault, v any) {
	if _, ok := selected[DropAnswer]; ok {
		f.record(DropAnswer)
		panic(http.ErrAbortHandler)
	}
	if _, ok := selected[Stall]; ok {
		f.record(Stall)
		<-r.Context().Done()
		return
	}
	if _, ok := selected[Truncate]; !ok {
		writeJSON(w, http.StatusOK, v)
		return
	}
	f.record(Truncate)
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Length", fmt.Sprint(len(b)))
	_, _ = w.Write(b[:len(b)/2])
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
