//go:build crowd

package crowder

import (
	"bytes"
	"fmt"
	"testing"

	"cyclamenhub.org/platform/standin"
)

const (
	// bodyCrowd is the number of clients that send bodies of the largest legal size,
	// which together have twice the memory of the machine.
	bodyCrowd = 2 * memoryMB << 20 / bodyBytes
	// bodyBytes is the largest legal size of a body.
	bodyBytes = 1 << 20
)

// sized returns the end of a head whose body has a length.
func sized(bytes int) []byte { return fmt.Appendf(nil, "Content-Length: %d\r\n\r\n", bytes) }

// chunked is the end of a head whose body comes in chunks.
var chunked = []byte("Transfer-Encoding: chunked\r\n\r\n")

// chunks returns a body of a size in chunks of a size, without the last chunk, which is
// empty.
func chunks(total, size int) []byte {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, bytes.Repeat([]byte("a"), size))
	return bytes.Repeat(chunk, total/size)
}

// TestLargeBodiesFillMemory guards against a host that holds all bodies which come at
// once, most of which lack their last byte.
func TestLargeBodiesFillMemory(t *testing.T) {
	s := newSystem(t)
	c := newCrowd(t, bodyCrowd, s.entry.address(standin.FrontendPort))
	c.writeHeads("/look/1", sized(bodyBytes))
	c.write(make([]byte, bodyBytes-1))
	c.finish(make([]byte, 1))
	s.checkCrowd(c, bodyBytes)
}

// TestLargeBodiesInPiecesFillMemory guards against the same if all bodies grow side by
// side.
func TestLargeBodiesInPiecesFillMemory(t *testing.T) {
	s := newSystem(t)
	c := newCrowd(t, bodyCrowd, s.entry.address(standin.FrontendPort))
	c.writeHeads("/look/1", sized(bodyBytes))
	c.writeInPieces(make([]byte, bodyBytes-1))
	c.finish(make([]byte, 1))
	s.checkCrowd(c, bodyBytes)
}

// TestBodiesInLargeChunksFillMemory guards against the same with bodies that do not say
// their size.
func TestBodiesInLargeChunksFillMemory(t *testing.T) {
	s := newSystem(t)
	c := newCrowd(t, bodyCrowd, s.entry.address(standin.FrontendPort))
	c.writeHeads("/look/1", chunked)
	c.writeInPieces(chunks(bodyBytes, 64<<10))
	c.write([]byte("0\r\n\r"))
	c.finish([]byte("\n"))
	s.checkCrowd(c, bodyBytes)
}

// TestBodiesInTinyChunksFillMemory guards against the same with chunks of one byte.
func TestBodiesInTinyChunksFillMemory(t *testing.T) {
	s := newSystem(t)
	c := newCrowd(t, bodyCrowd, s.entry.address(standin.FrontendPort))
	c.writeHeads("/look/1", chunked)
	c.writeInPieces(chunks(bodyBytes, 1))
	c.write([]byte("0\r\n\r"))
	c.finish([]byte("\n"))
	s.checkCrowd(c, bodyBytes)
}
