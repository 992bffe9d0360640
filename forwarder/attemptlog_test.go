package forwarder

import (
	"bytes"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
)

// TestRefusedAttemptLogsANewConnectionAsNew guards against a line of a failed attempt that
// says of a new connection that it was used before.
func TestRefusedAttemptLogsANewConnectionAsNew(t *testing.T) {
	h := newHarness(t)
	var log lockedBuffer
	h.opts.Log = slog.New(slog.NewTextHandler(&log, nil))
	s := &partsServer{answers: [][]string{{refusalOf(503, "id-1")}}}
	h.useAddresses(s.start(t))
	h.call(t, http.MethodPost, "/file/1", "key", "x")
	for line := range strings.Lines(log.String()) {
		if strings.Contains(line, "attempt failed") && strings.Contains(line, "reused=true") {
			t.Errorf("the first request to the server went over a new connection: %s", line)
		}
	}
}

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// String returns what was written.
func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestLogOfARefusedAttemptReadsNoSharedConnection guards against a line of a failed attempt
// that is made from a connection which another call uses by then. The race detector finds it.
func TestLogOfARefusedAttemptReadsNoSharedConnection(t *testing.T) {
	h := newHarness(t)
	servers := []*copyingServer{{}, {}, {}}
	addresses := make([]string, len(servers))
	for i, s := range servers {
		script := make([]reaction, 0, 300)
		for range 300 {
			script = append(script, reaction{refusal: 400})
		}
		s.setScript(script)
		addresses[i] = listen(t, s.serve)
	}
	h.useAddresses(addresses...)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for n := range 60 {
				h.callAs(t, string(rune('a'+i))+strings.Repeat("x", n), http.MethodPost, "/file/1", "key", "x")
				h.useAddresses(addresses...)
			}
		})
	}
	wg.Wait()
}
