package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// smallBodyBytes is the first buffer for a body of undeclared length.
const smallBodyBytes = 4 << 10

// readBody reads a request's body within its bounds of size, time and memory.
// The caller releases it when the request has ended.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (requestBody, *refuser.Refusal) {
	if r.ContentLength == 0 {
		return requestBody{}, nil
	}
	limit := s.opt.Tables.Load().Limits().BodyBytes
	if r.ContentLength > limit {
		return requestBody{}, tooLarge(w)
	}
	held := r.ContentLength
	if held < 0 {
		held = limit
	}
	if !s.bodies.TryAcquire(held) {
		w.Header().Set("Connection", "close")
		return requestBody{}, refuser.NotRun(refuser.Overloaded, "the request bodies at work fill their memory",
			"come back after the time in Retry-After").After(time.Second)
	}
	b, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		s.bodies.Release(held)
		return requestBody{}, badBody(w, err)
	}
	return requestBody{bytes: b, held: held}, nil
}

// requestBody is a body and the memory that it holds.
type requestBody struct {
	bytes []byte
	held  int64
}

// release gives the memory of a body back.
func (s *Server) release(b requestBody) {
	if b.held > 0 {
		s.bodies.Release(b.held)
	}
}

// badBody refuses a body that could not be read.
func badBody(w http.ResponseWriter, err error) *refuser.Refusal {
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return tooLarge(w)
	}
	w.Header().Set("Connection", "close")
	return malformed("the body did not arrive in time or in full", "send the whole body without delay")
}

// readAll reads r, whose length is n or, where n is negative, unknown.
func readAll(r io.Reader, n int64) ([]byte, error) {
	if n < 0 {
		n = smallBodyBytes
	}
	b := bytes.NewBuffer(make([]byte, 0, n+bytes.MinRead))
	_, err := b.ReadFrom(r)
	return b.Bytes(), err
}

func tooLarge(w http.ResponseWriter) *refuser.Refusal {
	w.Header().Set("Connection", "close")
	return refuser.NotRun(refuser.TooLarge, "the body is too large", "send less, or have limits.bodyBytes raised")
}

// generationBody is what the system reads of a generation's body.
type generationBody struct {
	Model    identifier.Service `json:"model"`
	Prompt   json.RawMessage    `json:"prompt"`
	Messages json.RawMessage    `json:"messages"`
	Stream   *bool              `json:"stream"`
	N        *int               `json:"n"`
	// MaxTokens has two names.
	MaxTokens           identifier.Tokens `json:"max_tokens"`
	MaxCompletionTokens identifier.Tokens `json:"max_completion_tokens"`
	BestOf              *int              `json:"best_of"`
	// StreamOptions, Tools and the like make the answer more than one text.
	StreamOptions json.RawMessage `json:"stream_options"`
	Tools         json.RawMessage `json:"tools"`
	Functions     json.RawMessage `json:"functions"`
	Logprobs      json.RawMessage `json:"logprobs"`
	Audio         json.RawMessage `json:"audio"`
	Echo          json.RawMessage `json:"echo"`
	Resume        json.RawMessage `json:"resume"`
}

// decodeGeneration reads and checks the body of a generation.
func decodeGeneration(b []byte, chat bool) (*generationBody, *refuser.Refusal) {
	var g generationBody
	if err := json.Unmarshal(b, &g); err != nil {
		return nil, malformed("the body is not valid JSON: "+err.Error(), "send one JSON object")
	}
	switch {
	case g.Model == "":
		return nil, malformed("the model is missing", `name a service in "model"; GET /v1/models lists them`)
	case chat && len(g.Messages) == 0:
		return nil, malformed("the messages are missing", `send at least one message in "messages"`)
	case !chat && len(g.Prompt) == 0:
		return nil, malformed("the prompt is missing", `send a text in "prompt"`)
	case g.Resume != nil:
		return nil, malformed(`the field "resume" is reserved`, "leave it out; broken answers are resumed without it")
	}
	return &g, nil
}

// streams reports whether the caller reads event by event.
func (g *generationBody) streams() bool { return g.Stream != nil && *g.Stream }

// single reports whether the answer is one text, so that it can be asked for as
// a stream and put together.
func (g *generationBody) single() bool {
	one := func(n *int) bool { return n == nil || *n == 1 }
	for _, m := range []json.RawMessage{g.StreamOptions, g.Tools, g.Functions, g.Logprobs, g.Audio, g.Echo} {
		if len(m) > 0 && string(m) != "null" && string(m) != "false" {
			return false
		}
	}
	return one(g.N) && one(g.BestOf) && g.Stream == nil
}
