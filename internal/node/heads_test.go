package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform/standin"
)

// TestHeadersOverTheDocumentsLimitAreRefused guards against hosts that read no limit for the
// size of headers.
func TestHeadersOverTheDocumentsLimitAreRefused(t *testing.T) {
	const limit, over = 1 << 10, 16 << 10
	s := newSystem(t)
	s.startKeepers(true)
	s.put(keeperA, strings.Replace(standin.Document(1, `["k1"]`), `"tenants"`, `"limits":{"maxHeaderBytes":1024},"tenants"`, 1))
	s.start(entryA, RunEntry, false)
	s.awaitReady(entryA)
	header := standin.CallHeader("id-1", "k1", 5*time.Second)
	header.Set("Padding", strings.Repeat("x", limit/2))
	if status, _ := s.request(http.MethodPost, entryA, standin.FrontendPort, "/file/1", "x", header); status != http.StatusOK {
		t.Errorf("status %d within the limit, want 200", status)
	}
	header = standin.CallHeader("id-2", "k1", 5*time.Second)
	header.Set("Padding", strings.Repeat("x", over))
	if status, _ := s.request(http.MethodPost, entryA, standin.FrontendPort, "/file/1", "x", header); status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d over the limit, want 431", status)
	}
}

// TestNoListenerTakesEndlessHeaders guards against a listener of an entry host or a keeper,
// beside that of callers, which holds all that comes as a header.
func TestNoListenerTakesEndlessHeaders(t *testing.T) {
	const over = 60 << 10
	s := newSystem(t)
	s.startKeepers(true)
	s.put(keeperA, strings.Replace(standin.Document(1, `["k1"]`), `"tenants"`, `"limits":{"maxHeaderBytes":1024},"tenants"`, 1))
	s.start(entryA, RunEntry, false)
	s.awaitReady(entryA)
	for name, at := range map[string]struct {
		ip   string
		port int
	}{
		"readiness": {entryA, standin.ReadinessPort}, "peers": {entryA, 0}, "metrics of an entry host": {entryA, standin.MetricsPort},
		"operators": {keeperA, standin.OperatorPort}, "metrics of a keeper": {keeperA, standin.MetricsPort},
	} {
		header := standin.CallHeader(identifier.RequestID("id-1"), "k1", 5*time.Second)
		header.Set("Padding", strings.Repeat("x", over))
		if status, _ := s.request(http.MethodGet, at.ip, at.port, "/metrics", "", header); status != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("%s: status %d, want 431", name, status)
		}
	}
}
