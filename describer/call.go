package describer

import (
	"net/http"
	"time"

	"cyclamenhub.org/identifier"
)

// Call is one call of a caller, as far as its header tells.
type Call struct {
	// ID is the caller's own for this call.
	ID identifier.AttemptID
	// Header is what is passed on.
	Header http.Header
	// Key is the customer's key, or empty.
	Key string
	// Patience is how long the caller waits; 0 means that it does not say.
	Patience time.Duration
	// PromptTokens and OutputTokens are the length of the prompt and the most
	// tokens to generate. Both are 0 where HasTokens is false.
	PromptTokens, OutputTokens identifier.Tokens
	HasTokens                  bool
	// Parts are those of the prompt, in order.
	Parts []Part
	// LikelyOutput is the caller's estimate of the tokens to generate; 0 means
	// that it gives none. It is often far off.
	LikelyOutput identifier.Tokens
	// LastEvent is the last event that the caller has got of the same stream.
	LastEvent string
}

// Part is a part of a prompt, which other prompts may share.
type Part struct {
	ID     string
	Tokens identifier.Tokens
}

// Attempt is what an attempt at a call adds to its header.
type Attempt struct {
	Server   identifier.BackendServer
	Customer identifier.Customer
	// Left is how long the caller still waits.
	Left time.Duration
	// LastEvent is the event after which a stream goes on, or empty.
	LastEvent string
	// Priority is the rank at the backend server; 0 is first.
	Priority int
}

// Reply is what the header of a backend server's answer tells.
type Reply struct {
	// ID is that of the call that the answer belongs to, or empty where it does
	// not say.
	ID identifier.AttemptID
	// NotRun tells that the backend server has not run the call.
	NotRun bool
	// Sealed tells that the answer bears the backend server's seal, without
	// which a success is none.
	Sealed bool
	// Load is what the backend server tells of its load, or nil.
	Load *Load
}

// Load is the load of a backend server.
type Load struct{ Running, Waiting, Slots int }

// Codec translates between headers and what they say.
type Codec interface {
	// Decode returns the call of a request. Its error tells what is malformed.
	Decode(r *http.Request) (*Call, error)
	// Encode returns the header of an attempt.
	Encode(c *Call, a *Attempt) http.Header
	// Reply returns what an answer's header says.
	Reply(status int, h http.Header) Reply
	// RetryAfter adds to a refusal's header when to come back.
	RetryAfter(h http.Header, after time.Duration)
}
