package forwarder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// resettingServer answers a request before it has read its body, with an answer that has
// neither a length nor chunks, and resets the connection amid the body and the answer.
type resettingServer struct {
	answer string
	// pause is the time between the answer and the reset.
	pause time.Duration
}

// serve serves one connection.
func (s *resettingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, _ = io.WriteString(c, s.answer)
	time.Sleep(s.pause)
	_ = c.(*net.TCPConn).SetLinger(0) // Close resets the connection.
}

// TestAnswerThatIsResetDuringAnUploadIsNotComplete guards against a part of an answer that looks
// whole: the server reset the connection while a long body was still being written to it, the
// write got the error, and the read found a plain end.
func TestAnswerThatIsResetDuringAnUploadIsNotComplete(t *testing.T) {
	upload := strings.Repeat("x", 4<<20) // More than the buffers of a connection hold.
	for _, tc := range []struct{ name, path, answer string }{
		{"body", "/file/1", undelimitedBody + "ha"},
		{"stream", "/draft/1", undelimitedStream + event(1)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newHarness(t)
			for i := range 20 {
				s := &resettingServer{answer: tc.answer, pause: time.Duration(i%5) * 5 * time.Millisecond}
				h.useAddresses(listen(t, s.serve))
				if res := h.call(t, http.MethodPost, tc.path, "key", upload); res.status == http.StatusOK && res.complete {
					t.Errorf("the caller got %q as a complete answer", res.body)
				}
			}
		})
	}
}
