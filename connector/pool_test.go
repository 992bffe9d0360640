package connector

import (
	"context"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// TestLostProbeEndsNoExchange guards against a connection that ends while its server
// works, since one keep-alive probe was lost: TCP_USER_TIMEOUT decides how long probes may
// be unanswered, and is shorter than the time before the first one.
func TestLostProbeEndsNoExchange(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := NewPool(Options{}).Open(context.Background(), l.Addr().String(), Fresh)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	rc, err := c.nc.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = rc.Control(func(fd uintptr) {
		probes, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
		if err != nil || probes != 0 {
			t.Errorf("keep-alive probes: %d, error %v", probes, err)
		}
		limit, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		if want := int(defaultUnacknowledgedLimit.Milliseconds()); err != nil || limit != want {
			t.Errorf("TCP_USER_TIMEOUT %d ms, want %d, error %v", limit, want, err)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
