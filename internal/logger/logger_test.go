package logger

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"cyclamenhub.org/timer"
)

// stalledWriter is a writer that blocks until release is closed.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (w *stalledWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(b)
}

// TestFloodDoesNotSuppressOtherLines logs a flood of one kind while the output
// is stalled. Logging must not block, lines of other kinds must be written, and
// the dropped lines must be reported.
func TestFloodDoesNotSuppressOtherLines(t *testing.T) {
	w := &stalledWriter{release: make(chan struct{})}
	clock := timer.NewManual(time.Unix(1000, 0))
	l := New(w, Options{Rate: 10, Clock: clock})
	log := slog.New(l)
	for range 10000 {
		log.Info("call")
	}
	log.Info("leader known")
	clock.Advance(2 * time.Second)
	log.Info("stopping")
	close(w.release)
	l.Close()
	out := w.b.String()
	if n := strings.Count(out, `"msg":"call"`); n != 10 {
		t.Errorf("%d lines of the flood are written, want 10", n)
	}
	for _, want := range []string{"leader known", "stopping", "log lines dropped"} {
		if !strings.Contains(out, want) {
			t.Errorf("the log lacks %q", want)
		}
	}
}

// BenchmarkLine logs a line with the attributes of one call.
func BenchmarkLine(b *testing.B) {
	l := New(io.Discard, Options{Rate: b.N})
	defer l.Close()
	log := slog.New(l).With("host", "edge-a-1")
	b.ReportAllocs()
	for range b.N {
		log.LogAttrs(b.Context(), slog.LevelInfo, "call", slog.Int("status", 200), slog.Duration("took", time.Second), slog.Int("sends", 1),
			slog.Int("runs", 1), slog.String("id", "bc3c3208f81c7f79"), slog.String("route", "r-1"), slog.Uint64("revision", 4),
			slog.String("customer", "foodbank"), slog.String("server", "i-e4f443912d"))
	}
}
