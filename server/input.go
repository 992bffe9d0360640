package server

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// initialBodyBytes is the initial buffer size for a body of undeclared length.
const initialBodyBytes = 4 << 10

// readBody reads a request body within the limits of size, time and memory. The
// caller calls release when the request has ended.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request) (requestBody, *refuser.Refusal) {
	if r.ContentLength == 0 {
		return requestBody{}, nil
	}
	limit := s.opt.Tables.Load().Limits().BodyBytes
	if r.ContentLength > limit {
		return requestBody{}, tooLarge(w)
	}
	reserved := r.ContentLength
	if reserved < 0 {
		reserved = limit
	}
	if !s.bodies.TryAcquire(reserved) {
		w.Header().Set("Connection", "close")
		return requestBody{}, refuser.NotRun(refuser.Overloaded, "the request bodies at work fill their memory",
			"come back after the time in Retry-After").After(time.Second)
	}
	b, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		s.bodies.Release(reserved)
		return requestBody{}, unreadableBody(w, err)
	}
	return requestBody{bytes: b, reserved: reserved}, nil
}

// requestBody is a body and the number of bytes reserved for it.
type requestBody struct {
	bytes    []byte
	reserved int64
}

// release returns the memory reserved for b.
func (s *Server) release(b requestBody) {
	if b.reserved > 0 {
		s.bodies.Release(b.reserved)
	}
}

// unreadableBody returns the refusal for a body that could not be read.
func unreadableBody(w http.ResponseWriter, err error) *refuser.Refusal {
	var over *http.MaxBytesError
	if errors.As(err, &over) {
		return tooLarge(w)
	}
	w.Header().Set("Connection", "close")
	return malformed("the body did not arrive in time or in full", "send the whole body without delay")
}

// readAll reads r to its end. n is the length of r, or negative if it is
// unknown.
func readAll(r io.Reader, n int64) ([]byte, error) {
	if n < 0 {
		n = initialBodyBytes
	}
	b := bytes.NewBuffer(make([]byte, 0, n+bytes.MinRead))
	_, err := b.ReadFrom(r)
	return b.Bytes(), err
}

func tooLarge(w http.ResponseWriter) *refuser.Refusal {
	w.Header().Set("Connection", "close")
	return refuser.NotRun(refuser.TooLarge, "the body is too large", "send less, or have limits.bodyBytes raised")
}

// generationBody holds the fields of a generation request that this package
// reads.
type generationBody struct {
	Model    identifier.Service `json:"model"`
	Prompt   json.RawMessage    `json:"prompt"`
	Messages json.RawMessage    `json:"messages"`
	Stream   *bool              `json:"stream"`
	N        *int               `json:"n"`
	// MaxTokens and MaxCompletionTokens are two names of the same limit.
	MaxTokens           identifier.Tokens `json:"max_tokens"`
	MaxCompletionTokens identifier.Tokens `json:"max_completion_tokens"`
	BestOf              *int              `json:"best_of"`
	// StreamOptions and the following fields can make the answer more than a
	// single text.
	StreamOptions json.RawMessage `json:"stream_options"`
	Tools         json.RawMessage `json:"tools"`
	Functions     json.RawMessage `json:"functions"`
	Logprobs      json.RawMessage `json:"logprobs"`
	Audio         json.RawMessage `json:"audio"`
	Echo          json.RawMessage `json:"echo"`
	Resume        json.RawMessage `json:"resume"`
}

// decodeGeneration decodes and checks the body of a generation request.
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
	case !isTokens(g.MaxTokens) || !isTokens(g.MaxCompletionTokens):
		return nil, malformed("the limit of tokens is out of range", fmt.Sprintf("write a number from 0 to %d, or leave it out", maxTokens))
	case g.Resume != nil:
		return nil, malformed(`the field "resume" is reserved`, "leave it out; broken answers are resumed without it")
	}
	return &g, nil
}

// maxTokens is the highest limit of tokens of a request. Sums over all requests do not
// overflow.
const maxTokens identifier.Tokens = 1 << 40

// isTokens reports whether n can be a limit of tokens.
func isTokens(n identifier.Tokens) bool { return n >= 0 && n <= maxTokens }

// streams reports whether the caller requests an event stream.
func (g *generationBody) streams() bool { return g.Stream != nil && *g.Stream }

// singleText reports whether the answer is a single text, so that it can be
// requested as a stream and assembled.
func (g *generationBody) singleText() bool {
	one := func(n *int) bool { return n == nil || *n == 1 }
	for _, m := range []json.RawMessage{g.StreamOptions, g.Tools, g.Functions, g.Logprobs, g.Audio, g.Echo} {
		if len(m) > 0 && string(m) != "null" && string(m) != "false" {
			return false
		}
	}
	return one(g.N) && one(g.BestOf) && g.Stream == nil
}
