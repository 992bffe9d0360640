package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform"
	"cyclamenhub.org/timer"
)

const (
	// headerTimeout bounds how long a peer may take to send a header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long an unused connection is kept. It is longer
	// than any caller may leave one idle, so that callers close first.
	idleTimeout = 5 * time.Minute
	// memoryPart is the part of the memory limit at which the garbage collector
	// works harder.
	memoryPart = 0.7
	// gcPercent trades memory, of which the machines have more than they need,
	// for processor time.
	gcPercent = 300
	// reloadInterval is the time between two looks at the settings file.
	reloadInterval = 2 * time.Second
)

// Options configure a process besides its settings.
type Options struct {
	Log *slog.Logger
	// Reload reads the settings anew; nil means that they stay.
	Reload func() (*platform.Settings, error)
	// Changed tells that the settings may have changed.
	Changed <-chan struct{}
}

// fitRuntime fits the runtime to the machine.
func fitRuntime(cfg *platform.Settings) {
	runtime.GOMAXPROCS(cfg.Cores)
	debug.SetGCPercent(gcPercent)
	if cfg.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(cfg.MemoryBytes)))
	}
}

// listen opens a listening address.
func listen(name, address string) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w: end the process that holds the address or choose another", name, err)
	}
	return ln, nil
}

// repeat calls f at once and then once an interval until ctx ends.
func repeat(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for ctx.Err() == nil {
		f()
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// newServer returns an HTTP server with bounded patience.
func newServer(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
}

// serve serves until the server is closed.
func serve(s *http.Server, ln net.Listener, log *slog.Logger) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		log.Error("listener ended", "address", ln.Addr().String(), "error", err)
	}
}

// serveMetrics serves the metrics of the process until ctx ends.
func serveMetrics(ctx context.Context, cfg *platform.Settings, log *slog.Logger) {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", cfg.IP, cfg.MetricsPort))
	if err != nil {
		log.Error("metrics are not served", "error", err)
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	s := newServer(mux, log)
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go serve(s, ln, log)
}

// contacts are the hosts that may know the leading keeper: the seeds of the
// settings and the keepers heard of. It is safe for concurrent use.
type contacts struct {
	self identifier.Host

	mu      sync.Mutex
	seeds   []identifier.Host
	keepers []identifier.Host
}

// list returns the hosts, keepers first.
func (c *contacts) list() []identifier.Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []identifier.Host
	for _, h := range slices.Concat(c.keepers, c.seeds) {
		if h != c.self && !slices.Contains(out, h) {
			out = append(out, h)
		}
	}
	return out
}

// setSeeds replaces the seeds.
func (c *contacts) setSeeds(seeds []identifier.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = seeds
}

// setKeepers replaces the keepers heard of.
func (c *contacts) setKeepers(keepers []identifier.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepers = keepers
}

// reload takes changed settings in until ctx ends. Only the seeds may change
// while a process runs.
func (c *contacts) reload(ctx context.Context, opts Options) {
	if opts.Reload == nil {
		return
	}
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-opts.Changed:
		}
		cfg, err := opts.Reload()
		if err != nil {
			opts.Log.Warn("settings are not reloaded, the present ones stand", "error", err)
			continue
		}
		c.mu.Lock()
		changed := !slices.Equal(c.seeds, cfg.Seeds)
		c.mu.Unlock()
		if changed {
			opts.Log.Info("settings reloaded", "seeds", cfg.Seeds)
			c.setSeeds(cfg.Seeds)
		}
	}
}

// moment is a time that several goroutines read and that only rises.
type moment struct{ at atomic.Int64 }

// raise sets the moment to t unless it is later.
func (m *moment) raise(t time.Time) {
	for {
		old := m.at.Load()
		if t.UnixNano() <= old || m.at.CompareAndSwap(old, t.UnixNano()) {
			return
		}
	}
}

// age returns how long ago the moment was, and whether it was ever set.
func (m *moment) age(clock timer.Clock) (time.Duration, bool) {
	at := m.at.Load()
	return time.Duration(clock.Now().UnixNano() - at), at != 0
}
