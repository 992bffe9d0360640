//go:build crowd

package crowder

import (
	"bytes"
	"testing"

	"cyclamenhub.org/platform/standin"
)

const (
	// connectionCrowd is more clients than the machine has descriptors.
	connectionCrowd = 700
	// legalHeadBytes is the size of a line in a head inside the limit.
	legalHeadBytes = 12 << 10
)

// TestHeadsShortOfEndUseUpDescriptors guards against a host that keeps all connections
// whose heads, inside the limit, lack their last byte.
func TestHeadsShortOfEndUseUpDescriptors(t *testing.T) {
	s := newSystem(t)
	c := newCrowd(t, connectionCrowd, s.entry.address(standin.FrontendPort))
	line := append([]byte("A: "), bytes.Repeat([]byte("a"), legalHeadBytes)...)
	c.writeHeads("/look/1", append(line, "\r\n\r"...))
	s.checkCrowd(c, legalHeadBytes)
}

// TestSilentConnectionsUseUpDescriptors guards against a host that keeps all connections
// on which nothing comes.
func TestSilentConnectionsUseUpDescriptors(t *testing.T) {
	s := newSystem(t)
	c := newCrowd(t, connectionCrowd, s.entry.address(standin.FrontendPort))
	s.checkCrowd(c, 0)
}

// TestSmallBodiesShortOfEndKeepCallersOut guards against a host all of whose connections are
// taken by callers that stop just short of the end of small bodies.
func TestSmallBodiesShortOfEndKeepCallersOut(t *testing.T) {
	const size = 100
	s := newSystem(t)
	c := newCrowd(t, connectionCrowd, s.entry.address(standin.FrontendPort))
	c.writeHeads("/look/1", sized(size))
	c.write(make([]byte, size-1))
	s.checkCrowd(c, size-1)
}
