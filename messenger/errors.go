package messenger

import "fmt"

// UnreachableError tells that a call got no answer. Whether the peer acted on
// it is unknown unless NotSent is true.
type UnreachableError struct {
	Address string
	// NotSent is true where no byte of the call can have reached the peer.
	NotSent bool
	Err     error
}

// Error names the peer and the remedy.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s (%v): check that the process there runs and that the network reaches it", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }
