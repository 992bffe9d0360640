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
	// fatalPart is the part of prompts that ends a standin.CrashingServer, and
	// sharedPart one that sound prompts contain too.
	fatalPart, sharedPart = "fa7a1", "5a6ed"
	// fatalPath is the path of the request that ends a standin.CrashingServer.
	fatalPath = "/look/fatal"
	// fatalInterval is the pause between two fatal calls.
	fatalInterval = 150 * time.Millisecond
	// fatalChecks is how many fatal calls of each form every entry host must refuse
	// at the end.
	fatalChecks = 3
)

// isFatal reports whether a call ends a standin.CrashingServer.
func isFatal(r *http.Request) bool {
	return r.URL.Path == fatalPath || standin.HasPart(fatalPart)(r)
}

// startCrashing starts the backend servers that end on fatal calls.
func (s *soak) startCrashing() error {
	for range crashingCount {
		c, err := standin.NewCrashingServer(s.backends, isFatal, crashDowntime)
		if err != nil {
			return err
		}
		s.crashing = append(s.crashing, c)
		s.closers = append(s.closers, c.Close)
		s.cloud.Servers = append(s.cloud.Servers, c.Address())
	}
	start := time.Now()
	s.cloud.Born = func(server int) time.Time {
		if n := server - len(s.links); n >= 0 {
			return s.crashing[n].Born()
		}
		return start
	}
	return nil
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
