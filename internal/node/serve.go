package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform"
	"cyclamenhub.org/recorder"
	"cyclamenhub.org/timer"
)

const (
	// headerTimeout bounds how long a client may take to send a header. A limit of
	// the document replaces it for callers.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds how long an unused connection is kept, so that clients close
	// first. A limit of the document replaces it for callers.
	idleTimeout = 5 * time.Minute
	// memoryFraction is the fraction of the memory limit at which the garbage
	// collector runs more often.
	memoryFraction = 0.7
	// gcPercent trades memory, of which the machines have more than the process
	// needs, for processor time.
	gcPercent = 300
	// addressTimeout bounds how long a starting process waits for an address that
	// another process still holds, and addressRetryInterval is the time between two
	// tries.
	addressTimeout       = 10 * time.Second
	addressRetryInterval = 100 * time.Millisecond
	// reloadInterval is the time between two reloads of the settings file.
	reloadInterval = 2 * time.Second
)

// Options configure a process in addition to its settings.
type Options struct {
	Log *slog.Logger
	// Reload reads the settings again. If it is nil, the settings never change.
	Reload func() (*platform.Settings, error)
	// DialServer opens connections to backend servers; nil means TCP.
	DialServer func(ctx context.Context, address string) (net.Conn, error)
	// Files writes the data folder of a keeper; nil means the file system.
	Files recorder.FileSystem
	// Changed signals that the settings may have changed, so that they are
	// reloaded immediately.
	Changed <-chan struct{}
}

// configureRuntime sets the limits of the Go runtime to the process's share of
// the machine.
func configureRuntime(cfg *platform.Settings) {
	runtime.GOMAXPROCS(cfg.Cores)
	debug.SetGCPercent(gcPercent)
	if cfg.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(cfg.MemoryBytes)))
	}
}

// listenSetting is a listening address and the name of its setting.
type listenSetting struct{ name, address string }

// listenBoth opens two listening addresses, or none.
func listenBoth(ctx context.Context, log *slog.Logger, a, b listenSetting) (lnA, lnB net.Listener, err error) {
	if lnA, err = listen(ctx, log, a); err != nil {
		return nil, nil, err
	}
	if lnB, err = listen(ctx, log, b); err != nil {
		_ = lnA.Close()
		return nil, nil, err
	}
	return lnA, lnB, nil
}

// listen opens a listening address. While another process holds it, or the machine
// does not have it yet, listen tries again until addressTimeout. The name of its
// setting is part of the error.
func listen(ctx context.Context, log *slog.Logger, s listenSetting) (net.Listener, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	for logged := false; ; logged = true {
		ln, err := net.Listen("tcp", s.address)
		if err == nil {
			return ln, nil
		}
		err = fmt.Errorf("%s: %w: end the process that holds the address or choose another", s.name, err)
		if !errors.Is(err, syscall.EADDRINUSE) && !errors.Is(err, syscall.EADDRNOTAVAIL) {
			return nil, err
		}
		if !logged {
			log.Warn("address is not available yet", "error", err)
		}
		if !timer.Sleep(ctx, addressRetryInterval) {
			return nil, err
		}
	}
}

// repeat calls f immediately and then once per interval until ctx ends.
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

// newServer returns an HTTP server with time-outs for headers and idle
// connections.
func newServer(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn),
	}
}

// serve serves until the server or its listener is closed. It logs any other error.
func serve(s *http.Server, ln net.Listener, log *slog.Logger) {
	if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		log.Error("listener failed", "address", ln.Addr().String(), "error", err)
	}
}

// serveMetrics serves the metrics of the process in the background until ctx
// ends, and what the others write. A failure to listen is only logged.
func serveMetrics(ctx context.Context, cfg *platform.Settings, log *slog.Logger, others ...func(io.Writer)) {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", cfg.IP, cfg.MetricsPort))
	if err != nil {
		log.Error("metrics listener cannot be opened; metrics are not served", "error", err)
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
		for _, write := range others {
			write(w)
		}
	})
	s := newServer(mux, log)
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go serve(s, bounded(cfg, s, ln), log)
}

// contacts are the hosts that may know the leading keeper: the seeds of the
// settings and the keepers named in responses. It is safe for concurrent use.
type contacts struct {
	self identifier.Host

	mu      sync.Mutex
	seeds   []identifier.Host
	keepers []identifier.Host
}

// list returns the hosts without this one and without duplicates, keepers
// first.
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

// setKeepers replaces the keepers.
func (c *contacts) setKeepers(keepers []identifier.Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keepers = keepers
}

// reload applies changed settings until ctx ends. Only the seeds may change
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

// latestTime is a time that only moves forward. It is safe for concurrent use.
type latestTime struct{ nanos atomic.Int64 }

// advance sets the time to t unless it is later already.
func (m *latestTime) advance(t time.Time) {
	for {
		old := m.nanos.Load()
		if t.UnixNano() <= old || m.nanos.CompareAndSwap(old, t.UnixNano()) {
			return
		}
	}
}

// age returns how long ago the time was, and whether it was ever set.
func (m *latestTime) age(clock timer.Clock) (time.Duration, bool) {
	nanos := m.nanos.Load()
	return time.Duration(clock.Now().UnixNano() - nanos), nanos != 0
}

// wake tells the reader of a channel with room for one element that something is due. What
// it has not read yet tells it already.
func wake(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
