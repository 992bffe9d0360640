package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cyclamenhub.org/platform"
	"cyclamenhub.org/platform/standin"
)

// obstacleTime is how long what a process needs at its start is missing.
const obstacleTime = 300 * time.Millisecond

// endsEarly fails the test if the process of a host ends within obstacleTime.
func (s *system) endsEarly(ip string) {
	s.t.Helper()
	select {
	case err := <-s.done[ip]:
		delete(s.stop, ip)
		s.t.Fatalf("the process ended: %v", err)
	case <-time.After(obstacleTime):
	}
}

// TestProcessAwaitsItsAddress guards against a process that ends since an address is
// still held when it starts, such as by the process before it.
func TestProcessAwaitsItsAddress(t *testing.T) {
	for _, tc := range []struct {
		name string
		ip   string
		run  func(context.Context, *platform.Settings, Options) error
		port func(*platform.Settings) string
		path string
	}{
		{"peers", keeperA, RunKeeper, func(c *platform.Settings) string { return c.PeerAddress(c.Host) }, standin.DocumentPath},
		{"operators", keeperA, RunKeeper, func(c *platform.Settings) string { return c.Operators }, standin.DocumentPath},
		{"callers", entryA, RunEntry, func(c *platform.Settings) string { return c.Callers }, standin.ReadinessPath},
		{"readiness", entryA, RunEntry, func(c *platform.Settings) string { return c.Readiness }, standin.ReadinessPath},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newSystem(t)
			ln, err := net.Listen("tcp", tc.port(s.settings(tc.ip, true)))
			if err != nil {
				t.Fatal(err)
			}
			s.start(tc.ip, tc.run, true)
			s.endsEarly(tc.ip)
			_ = ln.Close()
			s.awaitAnswer(tc.ip, tc.path)
		})
	}
}

// awaitAnswer waits until a host answers, with whatever status.
func (s *system) awaitAnswer(ip, path string) {
	s.t.Helper()
	port := standin.OperatorPort
	if path == standin.ReadinessPath {
		port = standin.ReadinessPort
	}
	s.await("the host answers", func() bool {
		status, _ := s.request(http.MethodGet, ip, port, path, "", nil)
		return status != 0
	})
}

// TestKeeperAwaitsItsDisk guards against a keeper that ends since its disk cannot be
// written when it starts.
func TestKeeperAwaitsItsDisk(t *testing.T) {
	s := newSystem(t)
	obstacle := filepath.Join(s.settings(keeperA, true).DataFolder, "group-0")
	if err := os.WriteFile(obstacle, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	s.start(keeperA, RunKeeper, true)
	s.endsEarly(keeperA)
	if err := os.Remove(obstacle); err != nil {
		t.Fatal(err)
	}
	s.awaitAnswer(keeperA, standin.DocumentPath)
}
