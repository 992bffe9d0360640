package admitter

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Priority orders requests of one service. The zero value is Interactive.
type Priority uint8

// The priorities, most urgent first.
const (
	// Interactive requests have somebody waiting for them.
	Interactive Priority = iota
	// Batch requests start when no interactive request waits, but for a small
	// share that keeps them from starving.
	Batch
	priorities
)

// Request is what the admitter knows of a caller's request.
type Request struct {
	Customer identifier.Customer
	Service  identifier.Service
	Priority Priority
	// Deadline is when the whole answer is due; zero means none.
	Deadline time.Time
	// PromptTokens is the length of the prompt.
	PromptTokens identifier.Tokens
	// MaxTokens bounds the answer. It is charged at once, and what was not
	// generated is given back when the request is done.
	MaxTokens identifier.Tokens
}

// cost returns the request's weight in the fair queue, in tokens. A call of a
// plain service costs one.
func (r *Request) cost() float64 {
	return float64(max(r.PromptTokens+r.MaxTokens, 1))
}

// Result tells how a granted request ended.
type Result uint8

// The results.
const (
	// Succeeded means that the whole answer was delivered.
	Succeeded Result = iota
	// Failed means that it was not answered, or answered with an error.
	Failed
	// Abandoned means that the caller went away; it says nothing about the
	// backend servers.
	Abandoned
)

// Outcome is what a granted request came to.
type Outcome struct {
	Result Result
	// FirstToken is the time from the send to the first token, or to the
	// answer of a plain service; 0 means not known.
	FirstToken time.Duration
	// Generated counts the tokens of the answer.
	Generated identifier.Tokens
}
