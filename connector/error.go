package connector

import (
	"errors"
	"fmt"
)

// Stage names the part of an exchange that failed.
type Stage string

// The stages of an exchange.
const (
	Dialing   Stage = "dialing"
	Sending   Stage = "sending"
	FirstByte Stage = "firstByte"
	Receiving Stage = "receiving"
)

// Error tells how an exchange with a backend server failed.
type Error struct {
	Stage Stage
	// Sent reports whether a byte of the request may have left.
	Sent bool
	// Reused reports whether the connection had served an earlier exchange.
	Reused bool
	Err    error
}

// Error returns the stage and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %v: check that the backend server is up and reachable", e.Stage, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrHeaderTooLarge reports an answer whose header exceeds its bound.
var ErrHeaderTooLarge = errors.New("the answer's header is too large")
