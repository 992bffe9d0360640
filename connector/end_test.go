package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/connector"
)

// heldExchange is an exchange whose server has written a part of its answer and waits.
type heldExchange struct {
	conn *connector.Conn
	res  *connector.Response
}

// holdExchange begins an exchange and reads the given number of bytes of its body.
func holdExchange(t *testing.T, p *connector.Pool, address, path string, bytes int) heldExchange {
	t.Helper()
	c, err := p.Open(context.Background(), address, connector.Fresh)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	m := &connector.Message{Method: http.MethodGet, Target: path, Host: "x"}
	res, err := c.Send(context.Background(), m, connector.Limits{Deadline: time.Now().Add(time.Minute)})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(res.Body, make([]byte, bytes)); err != nil {
		t.Fatal(err)
	}
	return heldExchange{c, res}
}

// startEndingServer starts a server that writes the beginning of an answer named by the path, and
// returns its address and the function that ends all its connections.
func startEndingServer(t *testing.T) (address string, end func()) {
	beginnings := map[string]string{
		"/open":   "HTTP/1.1 200 OK\r\n\r\nha",
		"/length": "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nha",
		"/whole":  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nha",
	}
	ended := make(chan struct{})
	address = startScriptedServer(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, beginnings[req.URL.Path])
		<-ended
	})
	return address, func() { close(ended) }
}

// TestOtherEndsAreSeenAmidExchanges checks which ends of other connections a connection sees: those
// amid exchanges, whether this side has read them, has closed the connection since, or neither.
func TestOtherEndsAreSeenAmidExchanges(t *testing.T) {
	p := connector.NewPool(connector.Options{})
	address, end := startEndingServer(t)
	own := holdExchange(t, p, address, "/open", 2)
	read := holdExchange(t, p, address, "/length", 2)
	holdExchange(t, p, address, "/open", 2) // Nobody reads its end.
	idle := holdExchange(t, p, address, "/whole", 2)
	p.Release(idle.conn)
	if diff := cmp.Diff(0, len(p.OtherEnds(own.conn))); diff != "" {
		t.Errorf("ends before the server ended differ (-want +got):\n%s", diff)
	}
	end()
	if _, err := read.res.Body.Read(make([]byte, 1)); err == nil {
		t.Fatal("the answer did not end")
	}
	read.conn.Close()
	time.Sleep(20 * time.Millisecond)
	broken := 0
	ends := p.OtherEnds(own.conn)
	for _, e := range ends {
		if e.Broken {
			broken++
		}
	}
	if diff := cmp.Diff([]int{2, 1}, []int{len(ends), broken}); diff != "" {
		t.Errorf("other ends, and broken ones among them, differ (-want +got):\n%s", diff)
	}
}

// TestEndThatIsThereWasNotAwaited guards against whole answers that are broken off on a busy host: an
// end that had come with the last bytes counted as awaited while the host got to read it.
func TestEndThatIsThereWasNotAwaited(t *testing.T) {
	p := connector.NewPool(connector.Options{})
	address, end := startEndingServer(t)
	x := holdExchange(t, p, address, "/open", 2)
	end()
	time.Sleep(30 * time.Millisecond) // The exchange does not wait for bytes meanwhile.
	if _, err := x.res.Body.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the answer ended with %v, want EOF", err)
	}
	if diff := cmp.Diff(time.Duration(0), x.conn.End().Quiet); diff != "" {
		t.Errorf("the time for which the end was awaited differs (-want +got):\n%s", diff)
	}
}

// TestEndTellsHowLongItWasAwaited checks the time between the last bytes of an answer and its end.
func TestEndTellsHowLongItWasAwaited(t *testing.T) {
	const pause = 30 * time.Millisecond
	p := connector.NewPool(connector.Options{})
	address, end := startEndingServer(t)
	x := holdExchange(t, p, address, "/open", 2)
	time.AfterFunc(pause, end)
	if _, err := x.res.Body.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the answer ended with %v, want EOF", err)
	}
	if got := x.conn.End().Quiet; got < pause/2 {
		t.Errorf("the end was awaited for %v, want about %v", got, pause)
	}
}
