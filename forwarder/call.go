package forwarder

import (
	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

// call is a decoded call together with its request line, host and body.
type call struct {
	*describer.Call
	method, target, host string
	body                 []byte
}

// defaultOutputDivisor divides the maximum number of output tokens to estimate
// the output of a call whose caller gives no estimate.
const defaultOutputDivisor = 3

// expectedOutput returns the estimated number of tokens that the call
// generates.
func (c *call) expectedOutput() identifier.Tokens {
	if c.EstimatedOutput > 0 {
		return min(c.EstimatedOutput, max(c.OutputTokens, 1))
	}
	return c.OutputTokens / defaultOutputDivisor
}
