//go:build crowd

package crowder

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"
	"time"

	"cyclamenhub.org/platform/standin"
)

// request is a request, whose head ends in the first of the parts.
type request struct {
	name  string
	parts [][]byte
}

// TestSingleRequestInsideLimitsIsRefused guards against limits that no crowd has to meet
// first: each request inside the document's limits is served at once, alone and beside
// one that stands still.
func TestSingleRequestInsideLimitsIsRefused(t *testing.T) {
	s := newSystem(t)
	line := append([]byte("A: "), bytes.Repeat([]byte("a"), legalHeadBytes)...)
	requests := []request{
		{"small", [][]byte{sized(0)}},
		{"largest body", [][]byte{sized(bodyBytes), make([]byte, bodyBytes)}},
		{"largest body, chunks", [][]byte{chunked, chunks(bodyBytes, 64<<10), []byte("0\r\n\r\n")}},
		{"tiny chunks", [][]byte{chunked, chunks(bodyBytes, 1), []byte("0\r\n\r\n")}},
		{"large head", [][]byte{line, []byte("\r\n"), sized(0)}},
		{"large head and body", [][]byte{line, []byte("\r\n"), sized(bodyBytes), make([]byte, bodyBytes)}},
	}
	for _, r := range requests {
		s.checkServedAtOnce(r.name+", alone", r.parts)
	}
	still := newCrowd(t, 1, s.entry.address(standin.FrontendPort))
	still.writeHeads("/look/1", sized(bodyBytes))
	still.write(make([]byte, bodyBytes-1))
	still.settle(bodyBytes)
	for _, r := range requests {
		s.checkServedAtOnce(r.name+", beside one that stands still", r.parts)
	}
	s.entry.checkBounds(t)
}

// checkServedAtOnce checks that a request, whose head ends in the first of the parts, is
// answered with status 200.
func (s *system) checkServedAtOnce(name string, parts [][]byte) {
	s.t.Helper()
	c := newCrowd(s.t, 1, s.entry.address(standin.FrontendPort))
	c.write(append(head("/look/1"), parts[0]...))
	for _, b := range parts[1:] {
		c.write(b)
	}
	conn := c.members[0].conn
	if err := conn.SetReadDeadline(time.Now().Add(patience)); err != nil {
		s.t.Fatal(err)
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.t.Errorf("%s: %v", name, err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		s.t.Errorf("%s: status %d, want 200", name, res.StatusCode)
	}
}
