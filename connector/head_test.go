package connector

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cyclamenhub.org/timer"
)

// byteConn is a connection on which a server has sent bytes, which arrive a few at a time, and
// then closed its side.
type byteConn struct {
	net.Conn
	sent []byte
	step int
	// read is how many bytes were read.
	read int
}

// Read implements net.Conn.
func (c *byteConn) Read(p []byte) (int, error) {
	if len(c.sent) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.sent[:min(len(c.sent), c.step)])
	c.sent = c.sent[n:]
	c.read += n
	return n, nil
}

// Close implements net.Conn.
func (c *byteConn) Close() error { return nil }

// SetDeadline implements net.Conn.
func (c *byteConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *byteConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *byteConn) SetWriteDeadline(time.Time) error { return nil }

// receiveBytes reads an answer from the bytes that a server has sent.
func receiveBytes(sent []byte, step int) (*Response, *byteConn, error) {
	nc := &byteConn{sent: sent, step: step}
	c := newConn(nc, "", timer.System{})
	c.beginExchange(context.Background(), Limits{})
	res, err := c.receive(&http.Request{Method: http.MethodPost})
	return res, nc, err
}

// maxHeadReadBytes is how much is read for a head at most, with what is read beyond it at a time.
const maxHeadReadBytes = 2*maxHeaderBytes + readBufferBytes

// FuzzHeads checks what heads are accepted, and that none takes more than its share to read.
func FuzzHeads(f *testing.F) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\nX: a\n\n",
		"HTTP/1.1 102 P\r\n\r\nHTTP/1.0 200\r\n\r\n",
		"HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nX: a\r\n Content-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\nX\x01: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Y: a\r\n\r\n",
		"\r\n\r\n", "", "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: a\r\n", 20_000),
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 2*maxHeaderBytes),
		strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 10_000),
	} {
		f.Add([]byte(head), uint16(1))
		f.Add([]byte(head), uint16(1000))
		f.Add([]byte(head), uint16(60_000))
	}
	f.Fuzz(func(t *testing.T, sent []byte, step uint16) {
		res, nc, err := receiveBytes(sent, int(max(step, 1)))
		if nc.read > maxHeadReadBytes {
			t.Errorf("%d bytes were read, %d are allowed", nc.read, maxHeadReadBytes)
		}
		if err != nil {
			return
		}
		if res.Status < http.StatusOK || res.Status > maxStatus {
			t.Errorf("accepted status %d", res.Status)
		}
		for name, values := range res.Header {
			if !isToken([]byte(name)) || strings.ContainsAny(strings.Join(values, ""), "\r\n\x00") {
				t.Errorf("accepted the field %q with %q", name, values)
			}
		}
	})
}

// TestLongHeadArrivingInBytesIsRead checks a head that is larger than the buffer of a connection
// and arrives a byte at a time.
func TestLongHeadArrivingInBytesIsRead(t *testing.T) {
	sent := "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", maxHeaderBytes/2) + "\r\n\r\n"
	res, _, err := receiveBytes([]byte(sent), 1)
	if err != nil || len(res.Header.Get("X")) != maxHeaderBytes/2 {
		t.Errorf("got %v, want the whole head", err)
	}
}
