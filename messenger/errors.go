package messenger

import "fmt"

// UnreachableError reports that a call got no response. Whether the peer executed
// the call is unknown unless NotSent is true.
type UnreachableError struct {
	Address string
	// NotSent is true if no byte of the call can have reached the peer.
	NotSent bool
	Err     error
}

// Error returns a message with the peer's address, the cause and the remedy.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s (%v): check that the process there runs and that the network reaches it", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }
