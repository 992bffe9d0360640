package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rogpeppe/go-internal/testscript"
)

// trafficWorkers is the number of concurrent requests.
const trafficWorkers = 4

// stopTrafficKey is the key of a script's trafficSwitch in
// testscript.Env.Values.
type stopTrafficKey struct{}

// traffic sends requests: N of them, or with "start" in the background until
// "traffic stop" or the end of the script. With N it prints how many got status
// 200.
func traffic(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) == 1 && args[0] == "stop" {
		ts.Value(stopTrafficKey{}).(*trafficSwitch).stop()
		return
	}
	if len(args) != 4 {
		ts.Fatalf("usage: traffic start|N URL KEY BODY, or traffic stop")
	}
	ctx, cancel := context.WithCancel(context.Background())
	remaining := &atomic.Int64{}
	send := func() int64 { return sendAll(ctx, remaining, args[1], args[2], args[3]) }
	if args[0] == "start" {
		const endless = 1 << 40
		remaining.Store(endless)
		done := make(chan struct{})
		go func() { defer close(done); send() }()
		s := ts.Value(stopTrafficKey{}).(*trafficSwitch)
		s.set(func() { cancel(); <-done })
		ts.Defer(s.stop)
		return
	}
	defer cancel()
	n, err := strconv.ParseInt(args[0], 10, 64)
	ts.Check(err)
	remaining.Store(n)
	_, _ = fmt.Fprintf(ts.Stdout(), "%d of %d answered\n", send(), n)
}

// trafficSwitch stops the background traffic of one script.
type trafficSwitch struct {
	mu sync.Mutex
	f  func()
}

func (s *trafficSwitch) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.f = f
}

func (s *trafficSwitch) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.f != nil {
		s.f()
		s.f = nil
	}
}

// sendAll sends requests until remaining is used up or ctx ends, and returns
// how many got status 200.
func sendAll(ctx context.Context, remaining *atomic.Int64, url, key, body string) int64 {
	var answered atomic.Int64
	var wg sync.WaitGroup
	for range trafficWorkers {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 && ctx.Err() == nil {
				if sendOne(ctx, url, key, body) {
					answered.Add(1)
				}
			}
		})
	}
	wg.Wait()
	return answered.Load()
}

func sendOne(ctx context.Context, url, key, body string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
