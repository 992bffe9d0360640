package dispatcher_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/connector"
	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/faker"
	"cyclamenhub.org/refuser"
)

// answer is a sink that records what it receives.
type answer struct {
	mu     sync.Mutex
	begins int
	head   dispatcher.Head
	body   bytes.Buffer
}

func (a *answer) Begin(h dispatcher.Head) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begins++
	a.head = h
	return nil
}

func (a *answer) Write(b []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.body.Write(b)
	return nil
}

func (a *answer) Flush() error { return nil }

// text returns the text of a stream and whether the stream has its terminal
// marker.
func (a *answer) text(t *testing.T) (string, bool) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	var text strings.Builder
	done := false
	for line := range strings.Lines(a.body.String()) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		switch {
		case !ok:
		case data == "[DONE]":
			done = true
		default:
			text.WriteString(eventText(t, data))
		}
	}
	return text.String(), done
}

// eventText returns the text of one event.
func eventText(t *testing.T, data string) string {
	t.Helper()
	var c struct {
		Choices []struct {
			Delta struct{ Content string }
			Text  string
		}
	}
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		t.Fatalf("event %q: %v", data, err)
	}
	text := ""
	for _, x := range c.Choices {
		text += x.Delta.Content + x.Text
	}
	return text
}

// fixture is a dispatcher with two model engines, e0 and e1, and two plain
// backend servers, p0 and p1, on an in-memory network. It must be used within a
// synctest bubble.
type fixture struct {
	t       *testing.T
	net     *faker.Network
	engines [2]*faker.Engine
	plains  [2]*faker.Plain
	stops   map[string]func()
	pool    *connector.Pool
	metrics *metrics.Set
	tables  atomic.Pointer[dispatcher.Table]
	d       *dispatcher.Dispatcher
	n       int
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	p := &fixture{t: t, net: faker.NewNetwork(), metrics: metrics.NewSet(), stops: make(map[string]func())}
	f := &configurer.Fleet{Defaults: configurer.Defaults{
		Services: []configurer.Service{
			{Name: "model", Kind: configurer.ModelService, Version: "v1", BetweenTokensTarget: configurer.Duration(20 * time.Millisecond)},
			{Name: "plain", Kind: configurer.PlainService, Version: "v1"},
		},
		Customers: []configurer.Customer{{Name: "c"}},
		Limits:    configurer.Limits{BodyBytes: 1 << 16, QueuedRequests: 100, RetryShare: 0.1, ClaimHorizon: configurer.Duration(time.Hour)},
	}}
	for i := range p.engines {
		e := string(rune('0' + i))
		p.engines[i] = faker.NewEngine(faker.EngineConfig{Name: "e" + e, Version: "v1", StepTime: 10 * time.Millisecond})
		p.plains[i] = faker.NewPlain(1)
		p.serve(f, "e"+e, "model", p.engines[i])
		p.serve(f, "p"+e, "plain", p.plains[i])
	}
	p.pool = connector.NewPool(connector.Options{Dial: p.net.Dial, Metrics: p.metrics})
	p.tables.Store(dispatcher.NewTable(f))
	p.d = dispatcher.New(dispatcher.Options{Tables: &p.tables, Pool: p.pool, Metrics: p.metrics, FailureDomain: "a"})
	return p
}

// useDial makes the dispatcher open its connections with dial.
func (p *fixture) useDial(dial func(context.Context, string) (net.Conn, error)) {
	p.pool.Close()
	p.pool = connector.NewPool(connector.Options{Dial: dial, Metrics: p.metrics})
	p.d = dispatcher.New(dispatcher.Options{Tables: &p.tables, Pool: p.pool, Metrics: p.metrics, FailureDomain: "a"})
}

func (p *fixture) serve(f *configurer.Fleet, name, service string, h http.Handler) {
	p.stops[name] = p.net.Serve(name, h)
	f.Defaults.BackendServers = append(f.Defaults.BackendServers, configurer.BackendServer{
		Name: identifier.BackendServer(name), Service: identifier.Service(service), Version: "v1",
		FailureDomain: identifier.FailureDomain("a"), Address: name, Concurrency: 4,
	})
}

// close ends every goroutine of the fixture.
func (p *fixture) close() {
	p.pool.Close()
	for _, stop := range p.stops {
		stop()
	}
}

// request returns a request with a deadline in 20 s.
func (p *fixture) request(service identifier.Service, kind dispatcher.Kind, method, target, body string) *dispatcher.Request {
	p.n++
	s, _ := p.tables.Load().Service(service)
	return &dispatcher.Request{
		ID: identifier.RequestID("r" + string(rune('a'+p.n%26)) + time.Now().Format("150405.000000000")), Customer: "c", Service: s, Kind: kind,
		Method: method, Path: target, Route: identifier.Route(method + " " + target), Body: []byte(body),
		Header: http.Header{"Content-Type": {"application/json"}}, Deadline: time.Now().Add(20 * time.Second),
	}
}

// stream returns a request for a stream of n tokens.
func (p *fixture) stream(prompt string, n int) *dispatcher.Request {
	b, _ := json.Marshal(map[string]any{"model": "model", "prompt": prompt, "max_tokens": n, "stream": true})
	return p.request("model", dispatcher.Stream{}, http.MethodPost, "/v1/completions", string(b))
}

// filing returns a non-idempotent request.
func (p *fixture) filing(body string) *dispatcher.Request {
	return p.request("plain", dispatcher.Call{NonIdempotent: true}, http.MethodPost, "/filings", body)
}

// do runs r to its end.
func (p *fixture) do(r *dispatcher.Request) (*answer, *refuser.Refusal) {
	a := new(answer)
	return a, p.d.Do(context.Background(), r, a)
}

// counter returns the value of a counter.
func (p *fixture) counter(name string) uint64 { return p.metrics.GetOrCreateCounter(name).Get() }

// executions returns how many calls the plain backend servers ran.
func (p *fixture) executions() int {
	n := 0
	for _, s := range p.plains {
		for _, k := range s.Executions() {
			n += k
		}
	}
	return n
}
