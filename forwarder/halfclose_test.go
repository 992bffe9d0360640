package forwarder

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestCallerThatHalfClosesGetsNoEmptySuccess guards against an empty answer with status
// 200, which no backend server gave, to a caller that closes its side of the connection
// once it has sent its call.
func TestCallerThatHalfClosesGetsNoEmptySuccess(t *testing.T) {
	h := newHarness(t)
	h.useAddresses(silentServer(t, "", sealedResponse(200, "", "done"), func() {}))
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := fmt.Fprintf(c, "POST /file/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n%s: id-1\r\n%s: key\r\nContent-Length: 0\r\n\r\n", testID, testKey); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond)
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(c)
	if len(got) > 0 && !strings.Contains(string(got), testSeal) {
		t.Errorf("the caller got an answer of no backend server (%v):\n%s", err, got)
	}
}
