package server_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/connector"
	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/internal/faker"
	"cyclamenhub.org/server"
)

// TestSlowCallersAreDisconnected checks that a caller that does not complete
// its request gets an answer or is disconnected within 30 s, whether or not it
// sends a known key.
func TestSlowCallersAreDisconnected(t *testing.T) {
	const known = "Authorization: Bearer " + testKey + "\r\n"
	tests := []struct{ name, sent, want string }{
		{"header", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nX-Slow: ", ""},
		{"body", "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + known + "Content-Length: 100\r\n\r\n{", "400 Bad Request"},
		{"chunked body", "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + known + "Transfer-Encoding: chunked\r\n\r\n5\r\n{", "400 Bad Request"},
		{"body without a key", "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", "401 Unauthorized"},
		{"body that is too large", "POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + known + "Content-Length: 9999999\r\n\r\n{", "413 Request Entity Too Large"},
		{"nothing", "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got, after := sendSlowly(t, tt.sent)
				if !strings.Contains(got, tt.want) || tt.want == "" && got != "" {
					t.Errorf("got %q, want %q", got, tt.want)
				}
				if after > 30*time.Second {
					t.Errorf("the caller was disconnected after %v", after)
				}
			})
		})
	}
}

// sendSlowly sends a part of a request and returns all data that arrives until
// the server closes the connection, and the time that takes.
func sendSlowly(t *testing.T, sent string) (string, time.Duration) {
	t.Helper()
	var tables atomic.Pointer[dispatcher.Table]
	tables.Store(dispatcher.NewTable(&configurer.Fleet{Defaults: configurer.Defaults{
		Customers: []configurer.Customer{{Name: "foodbank", KeyHashes: []configurer.KeyHash{configurer.HashKey(testKey)}}},
		Limits:    configurer.Limits{BodyBytes: 1 << 16, QueuedRequests: 1},
	}}))
	s := server.New(server.Options{Dispatcher: dispatcher.New(dispatcher.Options{Tables: &tables}), Tables: &tables, ReadinessLag: -1})
	network := faker.NewNetwork()
	l := network.Listen("x")
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	c, err := network.Dial(context.Background(), "x")
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if _, err := io.WriteString(c, sent); err != nil {
		t.Fatal(err)
	}
	b, _ := io.ReadAll(c)
	after := time.Since(start)
	_ = c.Close()
	if err := s.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	<-done
	return string(b), after
}

// bubbleServer is a Server with one engine on an in-memory network, for tests
// in a synctest bubble.
type bubbleServer struct {
	t       *testing.T
	network *faker.Network
	engine  *faker.Engine
	server  *server.Server
	close   func()
}

func newBubbleServer(t *testing.T) *bubbleServer {
	t.Helper()
	b := &bubbleServer{t: t, network: faker.NewNetwork(), engine: faker.NewEngine(faker.EngineConfig{StepTime: 100 * time.Millisecond})}
	stop := b.network.Serve("w0", b.engine)
	var tables atomic.Pointer[dispatcher.Table]
	tables.Store(dispatcher.NewTable(&configurer.Fleet{Defaults: configurer.Defaults{
		Services:       []configurer.Service{{Name: "m", Kind: configurer.ModelService, Version: "v1", Deadline: configurer.Duration(10 * time.Minute)}},
		BackendServers: []configurer.BackendServer{{Name: "w0", Service: "m", Version: "v1", Address: "w0", Concurrency: 1}},
		Customers:      []configurer.Customer{{Name: "foodbank", KeyHashes: []configurer.KeyHash{configurer.HashKey(testKey)}}},
		Limits:         configurer.Limits{BodyBytes: 1 << 16, QueuedRequests: 1},
	}}))
	pool := connector.NewPool(connector.Options{Dial: b.network.Dial})
	b.server = server.New(server.Options{Dispatcher: dispatcher.New(dispatcher.Options{Tables: &tables, Pool: pool}), Tables: &tables, ReadinessLag: -1})
	l := b.network.Listen("x")
	go func() { _ = b.server.Serve(l) }()
	b.close = func() {
		if err := b.server.Stop(context.Background()); err != nil {
			t.Error(err)
		}
		pool.Close()
		stop()
	}
	return b
}

// startStream requests a stream of n tokens on a new connection.
func (b *bubbleServer) startStream(n int) net.Conn {
	b.t.Helper()
	c, err := b.network.Dial(context.Background(), "x")
	if err != nil {
		b.t.Fatal(err)
	}
	body := fmt.Sprintf(`{"model":"m","prompt":"long","max_tokens":%d,"stream":true}`, n)
	if _, err := fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", testKey, len(body), body); err != nil {
		b.t.Fatal(err)
	}
	return c
}

// TestReadTimeoutDoesNotEndLongAnswer checks that the time limits for reading a
// request do not end a long answer.
func TestReadTimeoutDoesNotEndLongAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBubbleServer(t)
		defer b.close()
		c := b.startStream(300)
		got, err := io.ReadAll(c)
		if n := strings.Count(string(got), "id: "); err != nil || n != 300 || !strings.Contains(string(got), "[DONE]") {
			t.Errorf("%d events, error %v", n, err)
		}
		_ = c.Close()
	})
}

// TestNonReadingCallerIsDisconnected checks that a caller that does not read
// its answer is disconnected, and that the engine no longer works for it a
// minute later.
func TestNonReadingCallerIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBubbleServer(t)
		defer b.close()
		c := b.startStream(1000)
		time.Sleep(time.Second)
		if b.engine.Stats().Running != 1 {
			t.Fatal("the stream is not running")
		}
		time.Sleep(time.Minute)
		if b.engine.Stats().Running != 0 {
			t.Error("the engine still works for a caller that does not read")
		}
		_ = c.Close()
	})
}
