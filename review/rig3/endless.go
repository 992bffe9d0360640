package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The load of the case. Streams carry the same bytes a second whether they are sound or not.
const (
	briefWorkers    = 9
	briefInTrouble  = 5
	briefSlots      = 64
	briefParts      = 40
	briefPartBytes  = 16 << 10
	briefPartPause  = 64 * time.Millisecond
	briefPatience   = 4 * time.Second
	briefClients    = 240 // at each entry host
	lookupClients   = 12  // at each entry host
	lookupTimeout   = 1500 * time.Millisecond
	lookupBudget    = 3 * time.Second
	lookupShort     = 30 * time.Millisecond
	lookupLong      = 2800 * time.Millisecond
	lookupSlack     = 500 * time.Millisecond
	endlessCalm     = 8 * time.Second
	endlessDuration = 6500 * time.Millisecond
	endlessAfter    = 6 * time.Second
)

// runEndless has some workers of one service send bytes that are no event in their streams,
// without end, and looks at the calls of another service, which is sound.
func runEndless(s *system) (bool, error) {
	var inTrouble atomic.Bool
	if err := s.start(2); err != nil {
		return false, err
	}
	briefs, err := s.startWorkers("brief-model", briefWorkers, 20, briefSlots, func(w *worker, rw http.ResponseWriter, _ *http.Request) {
		sendBrief(rw, inTrouble.Load() && w.number < briefInTrouble)
	})
	if err != nil {
		return false, err
	}
	desks, err := s.startWorkers("studio-desk", 4, 30, briefSlots, answerLookup)
	if err != nil {
		return false, err
	}
	s.cloud.set(append(briefs, desks...))
	if err := errors.Join(s.putConfig(endlessConfig()), s.awaitReady()); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	var streams streamCount
	var probes probeCount
	calm, late, after := &lookupCount{}, &lookupCount{}, &lookupCount{}
	var current atomic.Pointer[lookupCount]
	current.Store(calm)
	for _, m := range s.entries {
		for n := range briefClients {
			wg.Go(func() { callStreams(ctx, m, n, &streams) })
		}
		for n := range lookupClients {
			wg.Go(func() { callLookups(ctx, m, n, &current) })
		}
		wg.Go(func() { probes.probe(ctx, m) })
	}
	time.Sleep(endlessCalm)
	streams.show(s, "before")
	current.Store(late)
	inTrouble.Store(s.trouble)
	s.note("trouble %v", s.trouble)
	time.Sleep(endlessDuration)
	inTrouble.Store(false)
	current.Store(after)
	time.Sleep(endlessAfter)
	cancel()
	wg.Wait()
	streams.show(s, "at the end")
	calm.show(s, "before")
	late.show(s, "begun during")
	after.show(s, "begun after")
	s.note("readiness probes: %d answered, %d without an answer within a second", probes.answered.Load(), probes.missed.Load())
	return late.isBroken(), nil
}

// endlessConfig returns a config with a streaming route and a plain one.
func endlessConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []any{
			map[string]any{
				"name": "r-brief", "host": appHost, "pathPrefix": "/brief/", "routeType": "streaming", "timeoutMs": 15000, "targetLatencyMs": 1000,
				"priority": 1, "service": "brief-model", "maxAttempts": 1, "anonymous": false, "sticky": true, "resumable": false, "interTokenMs": 500,
			},
			map[string]any{
				"name": "r-lookup", "host": appHost, "pathPrefix": "/lookup/", "routeType": "idempotent", "timeoutMs": lookupTimeout.Milliseconds(),
				"targetLatencyMs": 150, "priority": 0, "service": "studio-desk", "maxAttempts": 2, "anonymous": false,
			},
		},
		"services": []any{
			map[string]any{
				"name": "brief-model", "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": briefSlots, "kvCapacity": 598552, "kvBytes": 35136, "stride": 6, "models": []any{map[string]string{"name": "m"}}},
			},
			map[string]any{"name": "studio-desk", "healthPath": "/healthz", "maxConnections": 370, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{appKey}, "priority": 1}},
	}
}

// sendBrief sends a stream: events, or bytes without the end of an event until the caller
// closes.
func sendBrief(rw http.ResponseWriter, isEndless bool) {
	rw.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(rw)
	for n := 1; isEndless || n <= briefParts; n++ {
		part := strings.Repeat("x", briefPartBytes)
		if !isEndless {
			part = fmt.Sprintf("id: %d\ndata: %s\n\n", n, part)
		}
		if _, err := rw.Write([]byte(part)); err != nil {
			return
		}
		if rc.Flush() != nil {
			return
		}
		time.Sleep(briefPartPause)
	}
}

// answerLookup answers a lookup after the time that it takes.
func answerLookup(_ *worker, rw http.ResponseWriter, r *http.Request) {
	wait := lookupShort
	if strings.HasSuffix(r.URL.Path, "/long") {
		wait = lookupLong
	}
	select {
	case <-r.Context().Done():
	case <-time.After(wait):
		_, _ = io.WriteString(rw, "done")
	}
}

// streamCount counts the streams by their ends.
type streamCount struct{ whole, left, failed, refused atomic.Int64 }

// show records the counts.
func (c *streamCount) show(s *system, when string) {
	s.note("%s: %d streams whole, %d left by their clients after a gap of %v, %d failed, %d refused", when, c.whole.Load(), c.left.Load(), briefPatience, c.failed.Load(), c.refused.Load())
}

// callStreams calls one stream after the other over kept channels until ctx ends.
func callStreams(ctx context.Context, m *machine, client int, count *streamCount) {
	c := newClient()
	defer c.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		switch status := callStream(ctx, c, m, fmt.Sprintf("s-%s-%d-%d", m.name, client, n)); {
		case ctx.Err() != nil:
		case status == http.StatusOK:
			count.whole.Add(1)
		case status == 0:
			count.left.Add(1)
		case status == http.StatusServiceUnavailable:
			count.refused.Add(1)
			time.Sleep(time.Second)
		default:
			count.failed.Add(1)
			time.Sleep(200 * time.Millisecond)
		}
	}
}

// callStream makes one call and returns its status: 0 if the client left it after a gap, and
// another one than 200 if it did not end whole.
func callStream(ctx context.Context, c *http.Client, m *machine, id string) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req := newRequest(ctx, m, http.MethodPost, "/brief/2f", id, 15*time.Second)
	req.Header.Set("Cyclamenhub-Model", "m")
	req.Header.Set("Cyclamenhub-Token-Count", "1460,384")
	req.Header.Set("Cyclamenhub-Prefix-Hash", fmt.Sprintf("5c1e07a2:800,%x:660", id))
	var left atomic.Bool
	gap := time.AfterFunc(briefPatience, func() { left.Store(true); cancel() })
	defer gap.Stop()
	statusOfLoss := func() int {
		if left.Load() {
			return 0
		}
		return http.StatusInternalServerError
	}
	res, err := c.Do(req)
	if err != nil {
		return statusOfLoss()
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return res.StatusCode
	}
	for lines := bufio.NewReader(res.Body); ; {
		line, err := lines.ReadString('\n')
		switch {
		case errors.Is(err, io.EOF):
			return http.StatusOK
		case err != nil:
			return statusOfLoss()
		case strings.HasPrefix(line, "data:"):
			gap.Reset(briefPatience)
		}
	}
}

// lookupCount counts lookups.
type lookupCount struct {
	mu sync.Mutex
	// answers counts the answers by their status, 0 if there was none.
	answers map[int]int
	// overdue are the lookups without an answer at the route's timeout, unanswered those of
	// them without an answer half a second later, and lost those that never got one.
	all, overdue, unanswered, lost int
	longest                        time.Duration
}

// add counts a lookup.
func (c *lookupCount) add(status int, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answers == nil {
		c.answers = make(map[int]int)
	}
	c.answers[status]++
	c.all++
	c.longest = max(c.longest, took)
	if took > lookupTimeout {
		c.overdue++
	}
	if took > lookupTimeout+lookupSlack {
		c.unanswered++
	}
	if status == 0 {
		c.lost++
	}
}

// show records the counts.
func (c *lookupCount) show(s *system, when string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.note("%s: %d lookups, %v by status; unanswered at the route's timeout %d, half a second later %d, at the end of the client's time %d", when, c.all, c.answers, c.overdue, c.unanswered, c.lost)
}

// isBroken reports whether rule CONFIG is broken: eight or more of those that last longer than
// the route's timeout, and over a quarter, have no answer half a second after it.
func (c *lookupCount) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered >= 8 && 4*c.unanswered > c.overdue
}

// callLookups makes one lookup after the other until ctx ends; each third one takes longer
// than the route's timeout at its worker.
func callLookups(ctx context.Context, m *machine, client int, count *atomic.Pointer[lookupCount]) {
	c := newClient()
	defer c.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		path := "/lookup/short"
		if n%3 == 0 {
			path = "/lookup/long"
		}
		id := fmt.Sprintf("l-%s-%d-%d", m.name, client, n)
		into, began := count.Load(), time.Now()
		status := callOnce(ctx, c, newRequest(ctx, m, http.MethodGet, path, id, lookupBudget), lookupBudget)
		took := time.Since(began)
		if ctx.Err() != nil {
			return
		}
		into.add(status, took)
		m.s.log("%s %s %d after %d ms", id, path, status, took.Milliseconds())
		time.Sleep(100 * time.Millisecond)
	}
}

// probeCount counts readiness probes.
type probeCount struct{ answered, missed atomic.Int64 }

// probe asks a machine each second whether it is ready until ctx ends.
func (c *probeCount) probe(ctx context.Context, m *machine) {
	for ctx.Err() == nil {
		began := time.Now()
		if m.isReady() {
			c.answered.Add(1)
		} else {
			c.missed.Add(1)
			m.s.log("%s: readiness probe missed", m.name)
		}
		time.Sleep(time.Until(began.Add(time.Second)))
	}
}
