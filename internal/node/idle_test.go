package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform/standin"
)

// TestLimitsOfTheDocumentBoundCallersConnections guards against hosts that read neither
// limit, or no change of one.
func TestLimitsOfTheDocumentBoundCallersConnections(t *testing.T) {
	const short, long, request = 200 * time.Millisecond, time.Minute, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	// soon is longer than short on a busy machine, and shorter than the limits that hold
	// without a document.
	const soon = headerTimeout / 2
	s := newSystem(t)
	s.startKeepers(true)
	put := func(revision identifier.Revision, header, idle time.Duration) {
		limits := fmt.Sprintf(`"limits":{"headerTimeoutMs":%d,"idleTimeoutMs":%d},"tenants"`, header.Milliseconds(), idle.Milliseconds())
		s.put(keeperA, strings.Replace(standin.Document(revision, `["k1"]`), `"tenants"`, limits, 1))
	}
	// closes reports whether the host closes a connection within d of some bytes.
	closes := func(d time.Duration, port int, sent string) bool {
		c, err := net.Dial("tcp", net.JoinHostPort(entryA, strconv.Itoa(s.port+port)))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(d))
		_, werr := io.WriteString(c, sent)
		_, rerr := io.Copy(io.Discard, c)
		return werr == nil && !errors.Is(rerr, os.ErrDeadlineExceeded)
	}
	put(1, short, long)
	s.start(entryA, RunEntry, false)
	s.awaitReady(entryA)
	if !closes(soon, standin.FrontendPort, request[:9]) || closes(time.Second, standin.FrontendPort, request) {
		t.Error("the limit for headers does not hold, or for idle connections")
	}
	if closes(time.Second, standin.ReadinessPort, request[:9]) {
		t.Error("the limits of callers hold at the port for readiness")
	}
	put(2, long, short)
	for tries := 0; !closes(time.Second, standin.FrontendPort, request); tries++ {
		if tries == 10 {
			t.Fatal("the limit for idle connections does not hold")
		}
	}
	if closes(time.Second, standin.FrontendPort, request[:9]) {
		t.Error("the former limit for headers still holds")
	}
}
