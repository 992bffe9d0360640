//go:build crowd

package crowder

import (
	"bytes"
	"fmt"
	"testing"

	"cyclamenhub.org/platform/standin"
)

const (
	// headCrowd is the number of clients that send heads of many lines, each of which
	// takes several times its size, and lineCrowd of those that send other bytes.
	headCrowd = 64
	lineCrowd = 256
	// longHeadBytes is the size of a head over the limit.
	longHeadBytes = 32 * 16 << 10
	// lineBytes is the size of a line over the limit.
	lineBytes = 768 << 10
	// endlessBytes is how much a client sends whose head has no end.
	endlessBytes = 4 << 20
)

// headerLines returns short lines of a head with different names.
func headerLines(size int) []byte {
	var b bytes.Buffer
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "a%x:\r\n", n)
	}
	return b.Bytes()
}

// checkCrowd checks the system while a crowd is connected to its entry host.
func (s *system) checkCrowd(c *crowd, bytes int64) {
	s.t.Helper()
	c.settle(bytes)
	s.checkOrdinaryCaller()
	s.entry.checkBounds(s.t)
	s.keeper.checkBounds(s.t)
}

// TestHeadsOverLimitFillMemory guards against a host that holds heads of many times the
// document's limit, most of which lack their last byte.
func TestHeadsOverLimitFillMemory(t *testing.T) {
	s := newSystem(t)
	c := newCrowd(t, headCrowd, s.entry.address(standin.FrontendPort))
	c.writeHeads("/look/1", nil)
	c.writeInPieces(headerLines(longHeadBytes))
	c.write([]byte("\r"))
	c.finish([]byte("\n"))
	s.checkCrowd(c, longHeadBytes)
}

// TestHeadsWithoutEndFillMemory guards against a host that reads on for as long as
// lines of a head come.
func TestHeadsWithoutEndFillMemory(t *testing.T) {
	s := newSystem(t)
	c := newCrowd(t, headCrowd, s.entry.address(standin.FrontendPort))
	c.writeHeads("/look/1", nil)
	c.writeWithoutEnd(headerLines(1<<20), endlessBytes)
	s.checkCrowd(c, endlessBytes)
}

// TestLineWithoutEndFillsMemory guards against a host that reads on for as long as a
// line of a head goes on. The lines of all clients go on once all have been read so far.
func TestLineWithoutEndFillsMemory(t *testing.T) {
	s := newSystem(t)
	c := newCrowd(t, lineCrowd, s.entry.address(standin.FrontendPort))
	c.writeHeads("/look/1", []byte("A: "))
	c.writeInPieces(bytes.Repeat([]byte("a"), lineBytes))
	c.settle(lineBytes)
	c.writeWithoutEnd(bytes.Repeat([]byte("a"), 1<<20), endlessBytes)
	s.checkCrowd(c, endlessBytes)
}

// TestEmptyLinesBeforeRequestFillMemory guards against a host that holds, or reads
// without end, empty lines before a request.
func TestEmptyLinesBeforeRequestFillMemory(t *testing.T) {
	s := newSystem(t)
	c := newCrowd(t, lineCrowd, s.entry.address(standin.FrontendPort))
	c.writeWithoutEnd(bytes.Repeat([]byte("\r\n"), 1<<19), endlessBytes)
	s.checkCrowd(c, endlessBytes)
}

// TestEmptyLinesAfterRequestFillMemory guards against the same on a connection that has
// served a request.
func TestEmptyLinesAfterRequestFillMemory(t *testing.T) {
	s := newSystem(t)
	c := newCrowd(t, lineCrowd, s.entry.address(standin.FrontendPort))
	c.writeHeads("/look/1", []byte("Content-Length: 1\r\n\r\nx"))
	c.writeWithoutEnd(bytes.Repeat([]byte("\r\n"), 1<<19), endlessBytes)
	s.checkCrowd(c, endlessBytes)
}
