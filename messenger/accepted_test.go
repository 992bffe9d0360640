package messenger

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/internal/wire"
)

// TestSilentSessionsKeepNoPeerOut guards against a process that runs out of descriptors by
// connections on which no call comes, or refuses its peers for them.
func TestSilentSessionsKeepNoPeerOut(t *testing.T) {
	const bound = 4
	server := New(Options{Host: "a1", MaxAccepted: bound})
	server.Handle(testMethod, func(context.Context, *Call) (proto.Message, error) { return &wire.Empty{}, nil })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(ln) }()
	defer func() { _ = ln.Close() }()
	defer server.Close()
	client := New(Options{Host: "a2"})
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	dialled := sessionsDialled.Get()
	for range 3 * bound {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if err := client.Call(ctx, ln.Addr().String(), testMethod, &wire.Empty{}, &wire.Empty{}); err != nil {
			t.Fatalf("a peer is not served beside silent sessions: %v", err)
		}
		server.mu.Lock()
		n := len(server.accepted)
		server.mu.Unlock()
		if n > bound {
			t.Fatalf("%d sessions are served, want %d at most", n, bound)
		}
	}
	if n := sessionsDialled.Get() - dialled; n != 1 {
		t.Errorf("the peer had %d sessions, want one that no silent one displaces", n)
	}
}
