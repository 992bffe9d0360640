package logger

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"cyclamenhub.org/timer"
)

// stalled is a writer that blocks until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (w *stalled) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(b)
}

// TestFloodDoesNotHideRareLines floods one kind while the output is stalled:
// nothing blocks, the other kind is written, and the loss is said.
func TestFloodDoesNotHideRareLines(t *testing.T) {
	w := &stalled{release: make(chan struct{})}
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
