package admitter

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Priority is the scheduling class of a request within its service. The zero
// value is Interactive.
type Priority uint8

// The priorities, most urgent first.
const (
	// Interactive is for requests that a person waits for.
	Interactive Priority = iota
	// Batch is for requests that start when no interactive request is queued.
	// While some are, batch requests get a small share, so that they do not
	// starve.
	Batch
	priorities
)

// Request describes a caller's request to the Admitter.
type Request struct {
	Customer identifier.Customer
	Service  identifier.Service
	Priority Priority
	// Deadline is when the complete response is due; the zero time means no
	// deadline.
	Deadline time.Time
	// PromptTokens is the length of the prompt.
	PromptTokens identifier.Tokens
	// MaxTokens bounds the tokens of the response. They are charged when the
	// request is accepted, and those that were not generated are refunded when
	// it is done.
	MaxTokens identifier.Tokens
}

// cost returns the request's cost in the fair queue, in tokens. A call of a
// plain service, which has no tokens, costs 1.
func (r *Request) cost() float64 {
	return float64(max(r.PromptTokens+r.MaxTokens, 1))
}

// Result says how a granted request ended.
type Result uint8

// The results.
const (
	// Succeeded means that the complete response was delivered.
	Succeeded Result = iota
	// Failed means that there was no response, or that it was an error.
	Failed
	// Abandoned means that the caller disconnected. It gives no information
	// about the backend servers.
	Abandoned
)

// Outcome describes how a granted request ended.
type Outcome struct {
	Result Result
	// FirstToken is the time from sending to the first token, or to the response
	// of a plain service; 0 means unknown.
	FirstToken time.Duration
	// Generated counts the tokens of the response.
	Generated identifier.Tokens
}
