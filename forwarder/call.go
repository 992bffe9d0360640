package forwarder

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

// call is a decoded call together with its request line, host and body.
type call struct {
	*describer.Call
	method, target, host string
	body                 chunks
}

// fingerprint returns what calls have in common that are the same request of the
// same customer: method, host, path, query and body.
func (c *call) fingerprint(customer identifier.Customer) string {
	d := xxhash.New()
	for _, s := range []string{c.method, c.host, c.target} {
		// Writes to a Digest never fail.
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = c.body.WriteTo(d)
	return fmt.Sprintf("%s-%016x", customer, d.Sum64())
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
