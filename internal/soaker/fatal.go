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
	// fatalInterval is the pause between two calls with fatalPart.
	fatalInterval = 150 * time.Millisecond
	// fatalChecks is how many calls with fatalPart every entry host must refuse at
	// the end.
	fatalChecks = 3
)

// startCrashing starts the backend servers that end on calls with fatalPart.
func (s *soak) startCrashing() error {
	for range crashingCount {
		c, err := standin.NewCrashingServer(s.backends, standin.HasPart(fatalPart), crashDowntime)
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

// runFatalCaller sends calls with fatalPart until ctx ends.
func (s *soak) runFatalCaller(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, callerCount+1))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		s.callFatal(client, s.entries[rng.IntN(len(s.entries))], n)
		time.Sleep(fatalInterval)
	}
}

// callFatal sends a call with fatalPart and returns the status, or 0.
func (s *soak) callFatal(client *http.Client, entry *process, n int) int {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	id := identifier.RequestID(fmt.Sprint("fatal-", n))
	header := standin.PromptHeader(id, customerKey, callerTimeout, sharedPart, fatalPart, string(id))
	res, err := post(ctx, client, entry, streamPath, header)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// isIsolated reports whether every entry host refuses calls with fatalPart. The
// calls of a run may be too few, so that these count too.
func (s *soak) isIsolated() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range fatalChecks {
		for i, entry := range s.entries {
			if s.callFatal(client, entry, -i-1) != http.StatusBadRequest {
				return false
			}
		}
	}
	return true
}
