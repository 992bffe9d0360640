// Package logger writes structured logs that never hold up what they tell of.
//
// Lines go through a bounded queue to one goroutine that writes them. A line
// that finds the queue full is dropped, and so is one beyond the rate of its
// kind, which is its message: rare kinds survive a flood of another. What was
// dropped is counted by kind and said in the log once a second.
//
// # Usage
//
//	l := logger.New(os.Stdout, logger.Options{})
//	defer l.Close()
//	log := slog.New(l)
package logger

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/timer"
)

const (
	// defaultRate is how many lines of one kind are written a second.
	defaultRate = 200
	// queueLines bounds the lines that wait to be written.
	queueLines = 2048
	// maxKinds bounds the kinds that are told apart.
	maxKinds = 256
	// otherKind stands for the kinds beyond that.
	otherKind = "other"
	// noticeInterval is the time between two notices of dropped lines.
	noticeInterval = time.Second
)

var droppedLines = metrics.NewCounter("cyclamen_log_lines_dropped_total")

// Options configure a Logger.
type Options struct {
	// Rate is how many lines of one kind are written a second; 0 means 200.
	Rate  int
	Level slog.Leveler
	Clock timer.Clock
}

// Logger is a slog.Handler.
type Logger struct {
	slog.Handler
	shared *shared
}

// shared is what a Logger has in common with those derived from it.
type shared struct {
	opts  Options
	lines chan []byte
	done  chan struct{}

	mu     sync.Mutex
	kinds  map[string]*kind
	notice time.Time
	closed bool
}

// kind is the rate of one kind of line.
type kind struct {
	second  int64
	written int
	dropped int
}

// New returns a Logger that writes JSON lines to w.
func New(w io.Writer, opts Options) *Logger {
	if opts.Rate <= 0 {
		opts.Rate = defaultRate
	}
	if opts.Clock == nil {
		opts.Clock = timer.System{}
	}
	s := &shared{opts: opts, lines: make(chan []byte, queueLines), done: make(chan struct{}), kinds: make(map[string]*kind)}
	go s.write(w)
	return &Logger{Handler: slog.NewJSONHandler(s, &slog.HandlerOptions{Level: opts.Level}), shared: s}
}

// Close writes what is queued and ends. Later lines are dropped.
func (l *Logger) Close() {
	s := l.shared
	s.mu.Lock()
	if !s.closed {
		s.closed = true
		close(s.lines)
	}
	s.mu.Unlock()
	<-s.done
}

// Handle writes a line within the rate of its kind.
func (l *Logger) Handle(ctx context.Context, r slog.Record) error {
	notice, ok := l.shared.admit(r.Message)
	if notice != "" {
		n := slog.NewRecord(r.Time, slog.LevelWarn, "log lines dropped", 0)
		n.AddAttrs(slog.String("kinds", notice))
		if err := l.Handler.Handle(ctx, n); err != nil {
			return err
		}
	}
	if !ok {
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs returns a Logger whose lines carry attrs.
func (l *Logger) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Logger{Handler: l.Handler.WithAttrs(attrs), shared: l.shared}
}

// WithGroup returns a Logger whose further attributes stand in a group.
func (l *Logger) WithGroup(name string) slog.Handler {
	return &Logger{Handler: l.Handler.WithGroup(name), shared: l.shared}
}

// admit reports whether a line of a kind may be written, and returns a notice
// of dropped lines where one is due.
func (s *shared) admit(message string) (string, bool) {
	now := s.opts.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kinds[message]
	if k == nil {
		if len(s.kinds) >= maxKinds {
			message = otherKind
			k = s.kinds[message]
		}
		if k == nil {
			k = &kind{}
			s.kinds[message] = k
		}
	}
	if second := now.Unix(); k.second != second {
		k.second, k.written = second, 0
	}
	notice := s.dropNotice(now)
	if k.written >= s.opts.Rate {
		k.dropped++
		droppedLines.Inc()
		return notice, false
	}
	k.written++
	return notice, true
}

// dropNotice tells what was dropped since the last notice. The caller holds mu.
func (s *shared) dropNotice(now time.Time) string {
	if now.Sub(s.notice) < noticeInterval {
		return ""
	}
	s.notice = now
	var b bytes.Buffer
	for name, k := range s.kinds {
		if k.dropped > 0 {
			fmt.Fprintf(&b, "%q: %d ", name, k.dropped)
			k.dropped = 0
		}
	}
	return b.String()
}

// Write queues a formatted line.
func (s *shared) Write(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return len(b), nil
	}
	select {
	case s.lines <- bytes.Clone(b):
	default:
		droppedLines.Inc()
	}
	return len(b), nil
}

// write writes the queued lines, as many at once as wait.
func (s *shared) write(w io.Writer) {
	defer close(s.done)
	var batch []byte
	for line := range s.lines {
		batch = append(batch[:0], line...)
		for more := true; more; {
			select {
			case next, ok := <-s.lines:
				batch = append(batch, next...)
				more = ok
			default:
				more = false
			}
		}
		// Nothing is left to tell that logs cannot be written.
		_, _ = w.Write(batch)
	}
}
