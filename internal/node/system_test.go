package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cyclamenhub.org/platform"
	"cyclamenhub.org/platform/standin"
	disks "cyclamenhub.org/recorder/standin"
)

// system is a set of keepers and entry hosts on loopback addresses.
type system struct {
	t     testing.TB
	cloud *standin.Cloud
	api   string
	port  int
	seeds []string
	stop  map[string]context.CancelFunc
	done  map[string]chan error
	// folder holds the data folders of the hosts.
	folder string
	// links are the links of hosts to backend servers that a test may cut.
	links map[string]*serverLinks
	// disks are the disks of hosts that a test may fill.
	disks map[string]*disks.Disk
}

// The addresses of the hosts of a system.
const (
	keeperA, keeperB, keeperC = "127.7.0.1", "127.7.0.2", "127.7.0.3"
	entryA, entryB            = "127.7.0.4", "127.7.0.5"
)

// newSystem returns a system whose processes are not started yet.
func newSystem(t *testing.T) *system {
	backend := httptest.NewServer(&standin.Backends{})
	t.Cleanup(backend.Close)
	c := &standin.Cloud{Servers: []string{strings.TrimPrefix(backend.URL, "http://")}}
	api := httptest.NewServer(c)
	t.Cleanup(api.Close)
	s := &system{
		t: t, cloud: c, api: strings.TrimPrefix(api.URL, "http://"), port: freePort(t),
		stop: make(map[string]context.CancelFunc), done: make(map[string]chan error),
		folder: t.TempDir(), // Before the cleanup that ends the processes: cleanups run in reverse order.
	}
	for _, ip := range []string{keeperA, keeperB, keeperC} {
		s.seeds = append(s.seeds, fmt.Sprintf("%s:%d", ip, s.port+standin.OperatorPort))
	}
	t.Cleanup(func() {
		for ip := range s.stop {
			s.end(ip)
		}
	})
	return s
}

// useServers lists new backend servers alone, one for each delay and in the given
// failure domains, and returns them.
func (s *system) useServers(domains []string, delays ...time.Duration) []*standin.Backends {
	s.t.Helper()
	s.cloud.Servers, s.cloud.Domains = nil, domains
	var out []*standin.Backends
	for _, d := range delays {
		b := &standin.Backends{Delay: d}
		server := httptest.NewServer(b)
		s.t.Cleanup(server.Close)
		s.cloud.Servers = append(s.cloud.Servers, strings.TrimPrefix(server.URL, "http://"))
		out = append(out, b)
	}
	return out
}

// freePort returns the first of the ports that a system uses on all its
// addresses. It checks that this port is free on the address of the first
// keeper, and returns one below 60000.
func freePort(t *testing.T) int {
	for range 50 {
		ln, err := net.Listen("tcp", "127.7.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		port := ln.Addr().(*net.TCPAddr).Port
		_ = ln.Close()
		if port < 60000 {
			return port
		}
	}
	t.Fatal("no port below 60000 is free")
	return 0
}

// settings returns the settings of a host.
func (s *system) settings(ip string, founding bool) *platform.Settings {
	s.t.Helper()
	folder := filepath.Join(s.folder, ip)
	if err := os.MkdirAll(folder, 0o755); err != nil {
		s.t.Fatal(err)
	}
	m := standin.Machine{IP: ip, Port: s.port, Seeds: s.seeds, Founding: founding, Folder: folder, Cloud: s.api}
	text, err := m.Settings()
	if err != nil {
		s.t.Fatal(err)
	}
	cfg, err := platform.DecodeSettings(text)
	if err != nil {
		s.t.Fatal(err)
	}
	return cfg
}

// start starts the process of a host.
func (s *system) start(ip string, run func(context.Context, *platform.Settings, Options) error, founding bool) {
	s.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cfg := s.settings(ip, founding)
	done := make(chan error, 1)
	s.stop[ip], s.done[ip] = cancel, done
	opts := Options{Log: slog.New(slog.DiscardHandler)}
	if l := s.links[ip]; l != nil {
		opts.DialServer = l.dial
	}
	if d := s.disks[ip]; d != nil {
		opts.Files = d
	}
	go func() { done <- run(ctx, cfg, opts) }()
}

// startKeepers starts the three keepers.
func (s *system) startKeepers(founding bool) {
	for _, ip := range []string{keeperA, keeperB, keeperC} {
		s.start(ip, RunKeeper, founding)
	}
}

// end stops the process of a host, if it runs, and waits until it has ended.
func (s *system) end(ip string) {
	if s.stop[ip] == nil {
		return
	}
	s.stop[ip]()
	if err := <-s.done[ip]; err != nil {
		s.t.Errorf("%s ended with %v", ip, err)
	}
	delete(s.stop, ip)
}

// awaitReady waits until an entry host is ready.
func (s *system) awaitReady(ip string) {
	s.t.Helper()
	s.await("entry host is ready", func() bool {
		status, _ := s.request(http.MethodGet, ip, standin.ReadinessPort, standin.ReadinessPath, "", nil)
		return status == http.StatusOK
	})
}

// await waits until a condition holds, at least 30 s before it fails the test.
func (s *system) await(what string, ok func() bool) {
	s.t.Helper()
	for range 3000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("condition does not hold after 3000 checks: %s", what)
}

// request sends an HTTP request to a host. It returns the status, or 0 if there
// is no answer, and the body.
func (s *system) request(method, ip string, port int, path, body string, header http.Header) (int, string) {
	r, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", ip, s.port+port, path), strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = standin.CallHost
	if header != nil {
		r.Header = header
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	res, err := client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(b)
}

// put stores a document through one keeper. Like an operator, it retries until
// the document is acknowledged.
func (s *system) put(ip, document string) {
	s.t.Helper()
	s.await("document is acknowledged", func() bool {
		status, _ := s.request(http.MethodPut, ip, standin.OperatorPort, standin.DocumentPath, document, nil)
		return status == http.StatusOK
	})
}

// read returns the newest document, as confirmed by one keeper.
func (s *system) read(ip string) string {
	s.t.Helper()
	var document string
	s.await("document is read", func() bool {
		status, body := s.request(http.MethodGet, ip, standin.OperatorPort, standin.DocumentPath, "", nil)
		document = body
		return status == http.StatusOK
	})
	return document
}

// call makes a call with a key through the entry host and returns its status
// and body.
func (s *system) call(key string) (int, string) { return s.callAt(entryA, key) }

// callAt makes a call with a key through one entry host.
func (s *system) callAt(ip, key string) (int, string) {
	return s.request(http.MethodPost, ip, standin.FrontendPort, "/file/1", "x", standin.CallHeader("id-1", key, 5*time.Second))
}
