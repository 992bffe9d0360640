package connector

import (
	"errors"
	"fmt"
)

// Stage is the stage of an exchange that failed.
type Stage string

// Stages of an exchange.
const (
	Dialing   Stage = "dialing"
	Sending   Stage = "sending"
	FirstByte Stage = "firstByte"
	Receiving Stage = "receiving"
)

// Error describes a failed exchange with a backend server.
type Error struct {
	Stage Stage
	// Sent reports whether any byte of the request may have been sent.
	Sent bool
	// Reused reports whether the connection was used for an earlier exchange.
	Reused bool
	Err    error
}

// Error returns the stage, the cause and what to check.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %v: check that the backend server is up and reachable", e.Stage, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrHeaderTooLarge means that a response header exceeds the size limit.
var ErrHeaderTooLarge = errors.New("the answer's header is too large")

// ErrCarried means that a connection has carried a request with the same id, so that the
// answers to the two could not be told apart.
var ErrCarried = errors.New("the connection has carried a request with this id")

// ErrJoined means that the start of one response and the header of another have come as one
// header: a server has cut off a response too many, and it is not known which fields belong
// to which.
var ErrJoined = errors.New("the answer's header contains the start of another answer")

// ErrStatus means that what a server has sent is no answer, since HTTP has no such status. It
// is not known what the bytes that follow belong to.
var ErrStatus = errors.New("the answer's status is none of HTTP")

// ErrMalformed means that a head is none of HTTP, or that the name of a field in it is none. It is
// not known what was meant by it, the length of the body least of all.
var ErrMalformed = errors.New("the answer's header is malformed")
