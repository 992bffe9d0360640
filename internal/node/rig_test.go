package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cyclamenhub.org/platform"
	"cyclamenhub.org/platform/standin"
)

// system is some keepers and entry hosts on loopback addresses.
type system struct {
	t      testing.TB
	cloud  *standin.Cloud
	api    string
	port   int
	seeds  []string
	stop   map[string]context.CancelFunc
	ended  map[string]chan error
	folder map[string]string
}

// The addresses of the system's hosts.
const (
	keeperA, keeperB, keeperC = "127.7.0.1", "127.7.0.2", "127.7.0.3"
	entryA                    = "127.7.0.4"
)

// newSystem returns a system whose processes do not run yet.
func newSystem(t *testing.T) *system {
	backend := httptest.NewServer(&standin.Backends{})
	t.Cleanup(backend.Close)
	c := &standin.Cloud{Servers: []string{strings.TrimPrefix(backend.URL, "http://")}}
	api := httptest.NewServer(c)
	t.Cleanup(api.Close)
	s := &system{
		t: t, cloud: c, api: strings.TrimPrefix(api.URL, "http://"), port: freePort(t),
		stop: make(map[string]context.CancelFunc), ended: make(map[string]chan error), folder: make(map[string]string),
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

// freePort returns the first of some ports that are free on every address.
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
	if s.folder[ip] == "" {
		s.folder[ip] = s.t.TempDir()
	}
	m := standin.Machine{IP: ip, Port: s.port, Seeds: s.seeds, Founding: founding, Folder: s.folder[ip], Cloud: s.api}
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

// start starts a process.
func (s *system) start(ip string, run func(context.Context, *platform.Settings, Options) error, founding bool) {
	s.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cfg := s.settings(ip, founding)
	ended := make(chan error, 1)
	s.stop[ip], s.ended[ip] = cancel, ended
	go func() { ended <- run(ctx, cfg, Options{Log: slog.New(slog.DiscardHandler)}) }()
}

// startKeepers starts the three keepers.
func (s *system) startKeepers(founding bool) {
	for _, ip := range []string{keeperA, keeperB, keeperC} {
		s.start(ip, RunKeeper, founding)
	}
}

// end stops a process and waits for its end.
func (s *system) end(ip string) {
	if s.stop[ip] == nil {
		return
	}
	s.stop[ip]()
	if err := <-s.ended[ip]; err != nil {
		s.t.Errorf("%s ended with %v", ip, err)
	}
	delete(s.stop, ip)
}

// await waits until a condition holds.
func (s *system) await(what string, ok func() bool) {
	s.t.Helper()
	for range 3000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.t.Fatalf("never happened: %s", what)
}

// ask makes a call and returns its status, 0 where there is no answer, and body.
func (s *system) ask(method, ip string, port int, path, body string, header http.Header) (int, string) {
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

// put puts a document in force through one keeper, as operators do: again and
// again until it is acknowledged.
func (s *system) put(ip, document string) {
	s.t.Helper()
	s.await("the document is acknowledged", func() bool {
		status, _ := s.ask(http.MethodPut, ip, standin.OperatorPort, standin.DocumentPath, document, nil)
		return status == http.StatusOK
	})
}

// read returns the document that a keeper confirms as the newest.
func (s *system) read(ip string) string {
	s.t.Helper()
	var document string
	s.await("the document is read back", func() bool {
		status, body := s.ask(http.MethodGet, ip, standin.OperatorPort, standin.DocumentPath, "", nil)
		document = body
		return status == http.StatusOK
	})
	return document
}

// call makes a caller's call with a key and returns its status and body.
func (s *system) call(key string) (int, string) {
	return s.ask(http.MethodPost, entryA, standin.FrontendPort, "/file/1", "x", standin.CallHeader("id-1", key, 5*time.Second))
}
