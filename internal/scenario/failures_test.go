package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/internal/faker"
)

const streamTokens = 400

// TestEngineKilledMidStream kills the engine of a running stream. The stream
// must resume on the other engine, and the caller's text must be complete and
// exact.
func TestEngineKilledMidStream(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	engines := []string{s.startFake(0, configurer.ModelService, ""), s.startFake(1, configurer.ModelService, "")}
	s.run()
	r := &reader{s: s, id: "draft-1", prompt: "a grant for the choir", tokens: streamTokens}
	ended := make(chan error, 1)
	go func() { ended <- r.read(0) }()
	s.await("the stream has started", func() bool { return r.events() > 20 })
	killed, remaining := 0, 1
	if s.stats(engines[1]).Running > 0 {
		killed, remaining = 1, 0
	}
	s.kill(fmt.Sprint("engine", killed))
	if n := r.events(); n >= streamTokens {
		t.Fatalf("the stream ended before the kill, with %d events", n)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	r.check()
	if s.stats(engines[remaining]).Resumed != 1 || s.metric(0, "cyclamen_resumes_total") != "1" {
		t.Errorf("the other engine resumed %d streams", s.stats(engines[remaining]).Resumed)
	}
}

// TestUnresponsiveConnectionIsReplaced makes the open connections to the
// backend servers discard all bytes and checks that requests are served over
// new connections.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	relays := make(map[configurer.ServiceKind]*relay)
	for _, kind := range []configurer.ServiceKind{configurer.ModelService, configurer.PlainService} {
		address := fmt.Sprintf("%s:9000", s.ips[len(s.ips)-1])
		if kind == configurer.PlainService {
			address = fmt.Sprintf("%s:9001", s.ips[len(s.ips)-1])
		}
		relays[kind] = newRelay(t, address)
	}
	s.startFake(0, configurer.ModelService, relays[configurer.ModelService].address())
	s.startFake(1, configurer.PlainService, relays[configurer.PlainService].address())
	s.run()
	tag := func() {
		t.Helper()
		res, err := s.call(context.Background(), http.MethodPost, s.caller(0)+"/services/cases/tags", "{}", nil)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		if b, err := io.ReadAll(res.Body); err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("status %d, body %s, error %v", res.StatusCode, b, err)
		}
	}
	draft := func(id string) {
		t.Helper()
		r := &reader{s: s, id: id, prompt: "p", tokens: 5}
		if err := r.read(0); err != nil {
			t.Fatal(err)
		}
		r.check()
	}
	tag()
	draft("d1")
	for kind, r := range relays {
		if r.silence() == 0 {
			t.Fatalf("no connection to silence for %s", kind)
		}
	}
	tag()
	draft("d2")
	for kind, r := range relays {
		if r.lost() == 0 {
			t.Errorf("the relay of the %s service discarded no bytes", kind)
		}
	}
	if got := s.metric(0, `cyclamen_answers_dropped_total{reason="silent"}`); got != "2" {
		t.Errorf("%s attempts on silent connections were dropped, want 2", got)
	}
}

// TestStreamResumesAfterConnectionStalls makes the connection of a running
// stream discard all bytes. The stream must resume, and its text must be
// complete.
func TestStreamResumesAfterConnectionStalls(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	s.fleet.Defaults.Services[0].BetweenTokensTarget = configurer.Duration(30_000_000)
	r := newRelay(t, s.ips[len(s.ips)-1]+":9000")
	s.startFake(0, configurer.ModelService, r.address())
	s.run()
	c := &reader{s: s, id: "draft-1", prompt: "a scene", tokens: streamTokens}
	ended := make(chan error, 1)
	go func() { ended <- c.read(0) }()
	s.await("the stream has started", func() bool { return c.events() > 20 })
	if r.silence() == 0 || c.events() >= streamTokens {
		t.Fatal("no stream to silence")
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	c.check()
	if r.lost() == 0 {
		t.Error("the relay discarded no bytes")
	}
}

// TestMismatchedResponsesAreDropped makes backend servers respond late, with the
// id of another attempt, with an event of another response, or truncated. Every
// caller must get its own complete response.
func TestMismatchedResponsesAreDropped(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	engines := []string{s.startFake(0, configurer.ModelService, ""), s.startFake(1, configurer.ModelService, "")}
	plain := s.startFake(2, configurer.PlainService, "")
	s.run()
	for _, k := range []faker.FaultKind{faker.Crossed, faker.CrossedMidStream, faker.Truncate, faker.Late} {
		for _, e := range engines {
			s.inject(e, faker.Fault{Kind: k, AfterTokens: 7, Delay: 1_500_000_000, Count: 2})
		}
		s.readMany(string(k), 6, 60)
		if s.injectedCount(engines[0], k)+s.injectedCount(engines[1], k) == 0 {
			t.Errorf("fault %s took no effect", k)
		}
	}
	s.inject(plain, faker.Fault{Kind: faker.Truncate, Count: 1})
	res, err := s.call(context.Background(), http.MethodPost, s.caller(0)+"/services/cases/tags", "{}", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if b, err := io.ReadAll(res.Body); err != nil || !json.Valid(b) {
		t.Errorf("got %q, error %v", b, err)
	}
	if s.injectedCount(plain, faker.Truncate) != 1 {
		t.Error("the body was not truncated")
	}
}

// readMany reads n streams concurrently and checks each of them.
func (s *site) readMany(name string, n, tokens int) {
	s.t.Helper()
	var wg sync.WaitGroup
	readers := make([]*reader, n)
	for i := range readers {
		readers[i] = &reader{s: s, id: fmt.Sprint(name, "-", i), prompt: fmt.Sprint(name, " ", i), tokens: tokens}
		wg.Go(func() {
			if err := readers[i].read(0); err != nil {
				s.t.Error(err)
			}
		})
	}
	wg.Wait()
	for _, r := range readers {
		r.check()
	}
}

// TestTerminatedUnderLoad terminates a host while streams and filings are in
// flight. No stream may be cut off, and each filing must run exactly once.
func TestTerminatedUnderLoad(t *testing.T) {
	t.Parallel()
	s := newSite(t, 1)
	s.startFake(0, configurer.ModelService, "")
	plain := s.startFake(1, configurer.PlainService, "")
	s.run()
	var wg sync.WaitGroup
	var readers []*reader
	for i := range 16 {
		r := &reader{s: s, id: fmt.Sprint("draft-", i), prompt: fmt.Sprint("prompt ", i), tokens: streamTokens}
		readers = append(readers, r)
		wg.Go(func() {
			if err := r.read(0); err != nil {
				t.Error(err)
			}
		})
	}
	s.inject(plain, faker.Fault{Kind: faker.Late, Delay: 500_000_000})
	want := make(map[string]int)
	for i := range 8 {
		key := fmt.Sprint("filing-", i)
		want[key] = 1
		wg.Go(func() { s.file(key) })
	}
	s.await("all streams and filings have started", func() bool {
		for _, r := range readers {
			if r.events() == 0 {
				return false
			}
		}
		return s.injectedCount(plain, faker.Late) > 0
	})
	s.terminate("h0")
	wg.Wait()
	for _, r := range readers {
		r.check()
	}
	b, err := s.get("http://" + plain + "/control/executions")
	if err != nil {
		t.Fatal(err)
	}
	got := make(map[string]int)
	if err := json.Unmarshal([]byte(b), &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("executions differ (-want +got):\n%s", diff)
	}
}

// file sends a filing and checks that it succeeds.
func (s *site) file(key string) {
	res, err := s.call(context.Background(), http.MethodPost, s.caller(0)+"/services/cases/filings", "{}", http.Header{"Idempotency-Key": {key}})
	if err != nil {
		s.t.Error(err)
		return
	}
	defer res.Body.Close()
	if b, err := io.ReadAll(res.Body); err != nil || res.StatusCode != http.StatusOK {
		s.t.Errorf("%s: status %d, body %s, error %v", key, res.StatusCode, b, err)
	}
}
