package node

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform/standin"
)

// TestPlannedStopCutsNoCall guards against calls that a stopping host has accepted and
// cuts off. Callers press on over open and new connections until the process is gone: a
// call that a backend server ran gets its whole answer.
func TestPlannedStopCutsNoCall(t *testing.T) {
	s := newSystem(t)
	backends := s.useServers(nil, 10*time.Millisecond)[0]
	s.startKeepers(true)
	s.put(keeperA, standin.Document(1, `["k1"]`))
	s.start(entryA, RunEntry, false)
	s.awaitReady(entryA)
	const callers = 24
	gone := make(chan struct{})
	var mu sync.Mutex
	outcomes := make(map[identifier.RequestID]string)
	var wg sync.WaitGroup
	for i := range callers {
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: i%2 == 0}, Timeout: 20 * time.Second}
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-gone:
					return
				default:
				}
				id := identifier.RequestID(fmt.Sprintf("id-%d-%d", i, n))
				outcome := s.outcome(&client, id)
				mu.Lock()
				outcomes[id] = outcome
				mu.Unlock()
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	s.end(entryA)
	close(gone)
	wg.Wait()
	runs := backends.Runs()
	var cut []string
	for id := range runs {
		if outcomes[id] != answeredWhole {
			cut = append(cut, outcomes[id])
		}
	}
	if len(cut) > 0 || len(runs) < callers {
		t.Errorf("%d of %d calls that ran were cut off by the planned stop: %q", len(cut), len(runs), cut)
	}
}

// answeredWhole is the outcome of a call whose whole answer arrived.
const answeredWhole = "answered"

// outcome makes a call and returns how it ended.
func (s *system) outcome(client *http.Client, id identifier.RequestID) string {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/file/1", entryA, s.port+standin.FrontendPort), strings.NewReader("x"))
	if err != nil {
		s.t.Error(err)
		return err.Error()
	}
	r.Host, r.Header = standin.CallHost, standin.CallHeader(id, "k1", 5*time.Second)
	start := time.Now()
	res, err := client.Do(r)
	if err != nil {
		return fmt.Sprintf("%v after %v", err, time.Since(start))
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode == http.StatusOK && string(b) == standin.Line(id, "foodbank") {
		return answeredWhole
	}
	return fmt.Sprintf("status %d, %q, %v after %v", res.StatusCode, b, err, time.Since(start))
}

// TestCallsAreAnsweredAtTheEndOfTheGracePeriod guards against a whole call that gets neither
// an answer nor a refusal, since its server is silent until the grace period ends.
func TestCallsAreAnsweredAtTheEndOfTheGracePeriod(t *testing.T) {
	s := newSystem(t)
	backends := s.useServers(nil, 5*time.Second)[0]
	s.startKeepers(true)
	s.put(keeperA, standin.Document(1, `["k1"]`))
	s.start(entryA, RunEntry, false)
	s.awaitReady(entryA)
	status := make(chan int, 1)
	go func() {
		r, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/file/1", entryA, s.port+standin.FrontendPort), strings.NewReader("x"))
		r.Host, r.Header = standin.CallHost, standin.CallHeader("id-1", "k1", 20*time.Second)
		res, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			t.Error(err)
			close(status)
			return
		}
		_ = res.Body.Close()
		status <- res.StatusCode
	}()
	s.await("a run", func() bool { return len(backends.Runs()) > 0 })
	s.end(entryA)
	if got := <-status; got != http.StatusBadGateway {
		t.Errorf("status %d, want 502", got)
	}
}
