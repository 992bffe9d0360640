package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/semaphore"

	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/timer"
)

const (
	// headerTimeout limits reading a request's header.
	headerTimeout = 5 * time.Second
	// bodyTimeout limits reading a request's body.
	bodyTimeout = 15 * time.Second
	// maxBodiesBytes limits the total size of the bodies of all in-flight
	// requests.
	maxBodiesBytes = 256 << 20
	// writeTimeout limits how long a caller may accept no data of its answer.
	writeTimeout = 15 * time.Second
	// responseTimeout limits a complete answer; writeTimeout limits each write.
	responseTimeout = MaxDeadline + time.Hour
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 2 * time.Minute
	// unconfiguredRetry is the Retry-After of a host that has no configuration
	// yet.
	unconfiguredRetry = time.Second
	// maxHeaderBytes limits a request's header.
	maxHeaderBytes = 32 << 10
)

// Options configures a Server. Dispatcher and Tables are required.
type Options struct {
	Dispatcher *dispatcher.Dispatcher
	Tables     *atomic.Pointer[dispatcher.Table]
	Clock      timer.Clock
	Log        *slog.Logger
	// Metrics receives the counters and is served under /metrics; nil means a
	// new set.
	Metrics *metrics.Set
	// Finder finds requests that other hosts own; nil means that no other host
	// owns any.
	Finder Finder
	// ReadinessLag is how long Stop still accepts requests after /readyz
	// reports not ready. 0 means 2 s, a negative value means no time.
	ReadinessLag time.Duration
}

// Finder finds requests that other hosts own.
type Finder interface {
	// Find returns a customer's request on the host that owns it.
	Find(ctx context.Context, customer identifier.Customer, id identifier.RequestID) (dispatcher.Remote, dispatcher.Status, bool)
}

// Server implements the HTTP interface for callers. It is an http.Handler and
// safe for concurrent use.
type Server struct {
	opt      Options
	mux      http.Handler
	http     *http.Server
	notReady atomic.Bool
	// closeConnections makes each answer close its connection, so that callers
	// reconnect; stopping refuses new requests.
	closeConnections atomic.Bool
	stopping         atomic.Bool
	// bodies limits the total size of request bodies in memory.
	bodies   *semaphore.Weighted
	counters counters
}

// counters counts requests and refusals.
type counters struct {
	requests *metrics.Counter
	set      *metrics.Set
}

// countRefusal counts a refusal of kind k.
func (c *counters) countRefusal(k refuser.Kind) {
	c.set.GetOrCreateCounter(`cyclamen_refusals_total{kind="` + string(k) + `"}`).Inc()
}

// New returns a Server that is ready to serve requests.
func New(opt Options) *Server {
	if opt.Clock == nil {
		opt.Clock = timer.System{}
	}
	if opt.Log == nil {
		opt.Log = slog.New(slog.DiscardHandler)
	}
	if opt.Metrics == nil {
		opt.Metrics = metrics.NewSet()
	}
	if opt.ReadinessLag == 0 {
		opt.ReadinessLag = defaultReadinessLag
	}
	s := &Server{opt: opt, bodies: semaphore.NewWeighted(maxBodiesBytes), counters: counters{
		requests: opt.Metrics.GetOrCreateCounter("cyclamen_requests_total"), set: opt.Metrics,
	}}
	s.mux = s.routes()
	s.http = &http.Server{
		Handler: s, ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout + bodyTimeout,
		IdleTimeout: idleTimeout, WriteTimeout: responseTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: slog.NewLogLogger(opt.Log.Handler(), slog.LevelError),
	}
	return s
}

// routes returns the handler for all paths.
func (s *Server) routes() http.Handler {
	m := chi.NewRouter()
	m.Get("/healthz", s.healthy)
	m.Get("/readyz", s.ready)
	m.Get("/metrics", s.metrics)
	m.Post("/v1/chat/completions", s.authenticated(s.chatCompletions))
	m.Post("/v1/completions", s.authenticated(s.completions))
	m.Get("/v1/models", s.authenticated(s.models))
	m.Get("/v1/requests/{id}", s.authenticated(s.requestStatus))
	m.Get("/v1/requests/{id}/answer", s.authenticated(s.storedAnswer))
	m.HandleFunc("/services/{service}/*", s.authenticated(s.callPlainService))
	m.NotFound(func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, refuser.NotRun(refuser.NotFound, "there is no such path", "see the callers' page for the paths"))
	})
	m.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, refuser.NotRun(refuser.Malformed, "the path takes other methods", "see the callers' page for the methods"))
	})
	return m
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.closeConnections.Load() {
		w.Header().Set("Connection", "close")
	}
	s.mux.ServeHTTP(w, r)
}

// Serve accepts connections on l until Stop is called, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving callers: %w", err)
	}
	return nil
}

// SetReady sets what /readyz reports, by which the load balancer decides
// whether to send requests to this host.
func (s *Server) SetReady(ready bool) { s.notReady.Store(!ready) }

func (s *Server) healthy(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if s.notReady.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("stopping\n"))
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	s.opt.Metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}
