package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform/standin"
)

const (
	// fatalPart is the part of prompts that ends a backend server, and
	// sharedPart one that sound prompts contain too.
	fatalPart, sharedPart = "fa7a1", "5a6ed"
	// fatalPath is the path of the request that ends a backend server.
	fatalPath = "/look/fatal"
	// fatalInterval is the pause between two fatal calls.
	fatalInterval = 150 * time.Millisecond
	// fatalChecks is how many fatal calls of each form every entry host must refuse
	// at the end.
	fatalChecks = 3
)

// isFatal reports whether a call ends a backend server.
func isFatal(r *http.Request) bool {
	return r.URL.Path == fatalPath || standin.HasPart(fatalPart)(r)
}

// startServers starts the backend servers: those behind links, and those that end on
// fatal calls. The former break the connection of such a call.
func (s *soak) startServers(base string) error {
	for i := range backendCount + crashingCount {
		backend := http.Handler(s.backends)
		if i < backendCount {
			backend = standin.AbortOn(isFatal, backend)
		}
		b, err := standin.NewBrittleServer(backend, waitingRoom, fallDowntime)
		if err != nil {
			return err
		}
		s.servers = append(s.servers, b)
		s.closers = append(s.closers, b.Close)
		address := b.Address()
		if i >= backendCount {
			b.SetFatal(isFatal, crashDowntime)
		} else if address, err = s.startLink(base, address); err != nil {
			return err
		}
		s.cloud.Servers = append(s.cloud.Servers, address)
	}
	s.cloud.Born = func(server int) time.Time { return s.servers[server].Born() }
	return nil
}

// startLink starts a link in front of a backend server and returns its address.
func (s *soak) startLink(base, server string) (string, error) {
	l, err := newLink(base+".252:0", server)
	if err != nil {
		return "", err
	}
	s.links = append(s.links, l)
	s.closers = append(s.closers, l.close)
	return l.listener.Addr().String(), nil
}

// runFatalCaller sends fatal calls until ctx ends.
func (s *soak) runFatalCaller(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, callerCount+1))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		s.callFatal(client, s.entries[rng.IntN(len(s.entries))], n, rng.IntN(2) == 0)
		time.Sleep(fatalInterval)
	}
}

// callFatal sends a call with fatalPart, or the request that is fatal as a whole, and
// returns the status, or 0.
func (s *soak) callFatal(client *http.Client, entry *process, n int, isRequest bool) int {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	id := identifier.RequestID(fmt.Sprint("fatal-", n))
	path, header := streamPath, standin.PromptHeader(id, customerKey, callerTimeout, sharedPart, fatalPart, string(id))
	if isRequest {
		path, header = fatalPath, standin.CallHeader(id, customerKey, callerTimeout)
	}
	res, err := post(ctx, client, entry, path, header)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// isIsolated reports whether every entry host refuses fatal calls. The calls of a run
// may be too few, so that these count too.
func (s *soak) isIsolated() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for n := range 2 * fatalChecks {
		for i, entry := range s.entries {
			if s.callFatal(client, entry, -i-1, n%2 == 0) != http.StatusBadRequest {
				return false
			}
		}
	}
	return true
}
