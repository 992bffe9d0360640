package describer

import (
	"net/http"
	"time"

	"cyclamenhub.org/identifier"
)

// Call holds the values from the header of a caller's call.
type Call struct {
	// ID is the id that the caller has given this call.
	ID identifier.AttemptID
	// Header is the header to forward.
	Header http.Header
	// Key is the customer's key, or empty.
	Key string
	// Timeout is how long the caller waits for the response; 0 means unknown.
	Timeout time.Duration
	// PromptTokens is the length of the prompt, and OutputTokens the maximum
	// number of tokens to generate. Both are 0 if HasTokens is false.
	PromptTokens, OutputTokens identifier.Tokens
	HasTokens                  bool
	// Parts are the parts of the prompt, in order.
	Parts []PromptPart
	// EstimatedOutput is the caller's estimate of the number of tokens to
	// generate, which is often far off; 0 means that there is no estimate.
	EstimatedOutput identifier.Tokens
	// LastEvent is the id of the last event of the same stream that the caller
	// has received, or empty.
	LastEvent string
}

// SharedParts returns the parts of a prompt that other prompts may contain: all
// but the last, which is unique to the call or its session.
func SharedParts(parts []PromptPart) []PromptPart {
	if len(parts) < 2 {
		return nil
	}
	return parts[:len(parts)-1]
}

// PromptPart is a part of a prompt. Other prompts may contain the same part.
type PromptPart struct {
	ID     identifier.PartID
	Tokens identifier.Tokens
}

// Attempt holds the values added to the header of a call for one attempt.
type Attempt struct {
	Server   identifier.BackendServer
	Customer identifier.Customer
	// Remaining is how much longer the caller waits.
	Remaining time.Duration
	// LastEvent is the id of the event after which a stream resumes, or empty.
	LastEvent string
	// Priority is the rank at the backend server; 0 is the most urgent.
	Priority int
}

// Reply holds the values from the header of a backend server's response.
type Reply struct {
	// ID is the id of the call that the response belongs to, or empty if the
	// response does not contain one.
	ID identifier.AttemptID
	// NotRun is set if the backend server reports that it has not run the call.
	NotRun bool
	// Sealed is set if the response has the seal of the backend server. A
	// success without the seal is not accepted.
	Sealed bool
	// Load is the load that the backend server reports, or nil.
	Load *Load
	// Limit is the rate of requests that the backend server accepts from all
	// hosts together, or nil if it announces none.
	Limit *identifier.RequestRate
	// Brittle is the number of requests for which the backend server has no room that
	// it survives in a second, from all hosts together, or nil if it does not say that
	// it is brittle.
	Brittle *identifier.RequestRate
	// Leaving is set if the backend server announces that it leaves.
	Leaving bool
	// Pause is the time for which the backend server wants no calls from this
	// host, 0 if it announces none.
	Pause time.Duration
	// Unreadable names the fields above whose announcement cannot be decoded. The
	// answer says nothing about them then.
	Unreadable []Announcement
}

// Announcement names something that a backend server announces in its answers.
type Announcement string

// The announcements.
const (
	AnnouncedLimit   Announcement = "limit"
	AnnouncedLeaving Announcement = "leaving"
	AnnouncedPause   Announcement = "pause"
	AnnouncedBrittle Announcement = "brittle"
)

// Load is the load of a backend server as it says itself.
type Load struct {
	// Running, Waiting and Slots are in requests.
	Running, Waiting, Slots int
	// Pace is how long work takes there at the moment, compared with the usual
	// time; 0 means that the server does not say.
	Pace float64
}

// Codec translates between headers and the values of this package.
type Codec interface {
	// Decode returns the call of a request. Its error says what is malformed.
	Decode(r *http.Request) (*Call, error)
	// Encode returns the header of an attempt.
	Encode(c *Call, a *Attempt) http.Header
	// Relay returns the header of a call as one host passes it on to another: the
	// header h of the caller, with how much of the time to answer remains.
	Relay(h http.Header, remaining time.Duration) http.Header
	// Reply returns the values from the header of a response.
	Reply(status int, h http.Header) Reply
	// ReportPath is the path at which a backend server reports about itself, and StartedAt
	// returns from the body of such a report when the run that wrote it started, in milliseconds
	// since 1970, or false if it does not say so.
	ReportPath() string
	StartedAt(report []byte) (int64, bool)
	// RetryAfter adds to the header of a refusal when the caller may retry.
	RetryAfter(h http.Header, after time.Duration)
}
