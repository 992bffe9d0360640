// Package logger writes structured logs without blocking the code that logs.
//
// Lines go through a bounded queue to one goroutine that writes them. A line is
// dropped if the queue is full or if the rate limit of its kind is reached. The
// kind of a line is its message, so that a flood of one message does not cause
// rare messages to be dropped. The log reports the lines that the rate limits
// dropped, by kind, at most once a second. The metric
// cyclamen_log_lines_dropped_total counts the lines dropped for either reason.
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
	// defaultRate is the default limit on lines of one kind per second.
	defaultRate = 200
	// queueLines is the capacity of the queue, in lines.
	queueLines = 2048
	// maxKinds bounds the number of kinds with a rate limit of their own.
	maxKinds = 256
	// otherKind collects the lines of all further kinds.
	otherKind = "other"
	// summaryInterval is the minimum time between two reports of dropped
	// lines.
	summaryInterval = time.Second
)

var droppedLines = metrics.NewCounter("cyclamen_log_lines_dropped_total")

// Options configure a Logger.
type Options struct {
	// Rate is the limit on lines of one kind per second; 0 means 200.
	Rate  int
	Level slog.Leveler
	Clock timer.Clock
}

// Logger is a slog.Handler that limits the rate of each kind of line and writes
// in the background. It is safe for concurrent use.
type Logger struct {
	slog.Handler
	shared *shared
}

// shared is the state that a Logger shares with the Loggers derived from it.
type shared struct {
	opts  Options
	lines chan []byte
	done  chan struct{}

	mu          sync.Mutex
	kinds       map[string]*kind
	lastSummary time.Time
	closed      bool
}

// kind is the state of the rate limit of one kind of line.
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

// Close writes the queued lines and stops the Logger. Later lines are dropped.
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

// Handle queues a line unless the rate limit of its kind is reached. It also
// queues a report of dropped lines when one is due.
func (l *Logger) Handle(ctx context.Context, r slog.Record) error {
	summary, ok := l.shared.admit(r.Message)
	if summary != "" {
		n := slog.NewRecord(r.Time, slog.LevelWarn, "log lines dropped", 0)
		n.AddAttrs(slog.String("kinds", summary))
		if err := l.Handler.Handle(ctx, n); err != nil {
			return err
		}
	}
	if !ok {
		return nil
	}
	return l.Handler.Handle(ctx, r)
}

// WithAttrs returns a Logger that adds attrs to every line.
func (l *Logger) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &Logger{Handler: l.Handler.WithAttrs(attrs), shared: l.shared}
}

// WithGroup returns a Logger that puts further attributes into a group.
func (l *Logger) WithGroup(name string) slog.Handler {
	return &Logger{Handler: l.Handler.WithGroup(name), shared: l.shared}
}

// admit reports whether a line with the message may be written. It also returns
// a summary of dropped lines if one is due, else an empty string.
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
	summary := s.dropSummary(now)
	if k.written >= s.opts.Rate {
		k.dropped++
		droppedLines.Inc()
		return summary, false
	}
	k.written++
	return summary, true
}

// dropSummary returns how many lines the rate limits dropped since the last
// summary, by kind. It returns an empty string within summaryInterval of the
// last one. The caller holds mu.
func (s *shared) dropSummary(now time.Time) string {
	if now.Sub(s.lastSummary) < summaryInterval {
		return ""
	}
	s.lastSummary = now
	var b bytes.Buffer
	for name, k := range s.kinds {
		if k.dropped > 0 {
			fmt.Fprintf(&b, "%q: %d ", name, k.dropped)
			k.dropped = 0
		}
	}
	return b.String()
}

// Write queues a formatted line, or drops it if the queue is full.
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

// write writes the queued lines to w in batches until the queue is closed.
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
		// The error is ignored: there is no other output to report it to.
		_, _ = w.Write(batch)
	}
}
