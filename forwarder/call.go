package forwarder

import (
	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

// call is a call with what its first line and its body hold.
type call struct {
	*describer.Call
	method, target, host string
	body                 []byte
}

// unsaidOutput is the part of the most tokens that a call is thought to generate
// where its caller gives no estimate.
const unsaidOutput = 3

// expectedOutput returns how many tokens the call is thought to generate.
func (c *call) expectedOutput() identifier.Tokens {
	if c.LikelyOutput > 0 {
		return min(c.LikelyOutput, max(c.OutputTokens, 1))
	}
	return c.OutputTokens / unsaidOutput
}
