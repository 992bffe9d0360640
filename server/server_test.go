package server_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/faker"
	"cyclamenhub.org/server"
)

const testKey = "key-of-the-foodbank"

// testProxy is a Server with two fake engines and a fake plain service as
// backend servers.
type testProxy struct {
	t   testing.TB
	url string
	// engineURL and plainURL are the base URLs of the first engine and the
	// plain service.
	engineURL, plainURL string
	engines             []*faker.Engine
	plain               *faker.Plain
	metrics             *metrics.Set
	server              *server.Server
	// fleet is the document, and finder, if not nil, finds requests of other hosts.
	fleet  *configurer.Fleet
	finder server.Finder
}

// newTestProxy starts a testProxy. edit, if not nil, changes the fleet document
// first.
func newTestProxy(t testing.TB, edit func(*configurer.Fleet)) *testProxy {
	t.Helper()
	p := &testProxy{t: t, plain: faker.NewPlain(1), metrics: metrics.NewSet()}
	f := &configurer.Fleet{Defaults: configurer.Defaults{
		Services: []configurer.Service{
			{Name: "brief-model", Kind: configurer.ModelService, Version: "v1", Deadline: configurer.Duration(30 * time.Second)},
			{
				Name: "dossier", Kind: configurer.PlainService, Version: "v1", Deadline: configurer.Duration(30 * time.Second),
				NonIdempotentRoutes: []identifier.Route{"POST /filings"},
			},
		},
		Customers: []configurer.Customer{{Name: "foodbank", KeyHashes: []configurer.KeyHash{configurer.HashKey(testKey)}}},
		Limits:    configurer.Limits{BodyBytes: 1 << 16, QueuedRequests: 100, RetryShare: 0.1, ClaimHorizon: configurer.Duration(time.Hour)},
	}}
	for i := range 2 {
		e := faker.NewEngine(faker.EngineConfig{Name: fmt.Sprintf("w%d", i), Version: "v1"})
		p.engines = append(p.engines, e)
		f.Defaults.BackendServers = append(f.Defaults.BackendServers, configurer.BackendServer{
			Name: identifier.BackendServer(fmt.Sprintf("w%d", i)), Service: "brief-model", Version: "v1",
			FailureDomain: "a", Address: serve(t, e), Concurrency: 8,
		})
	}
	f.Defaults.BackendServers = append(f.Defaults.BackendServers, configurer.BackendServer{
		Name: "d0", Service: "dossier", Version: "v1", FailureDomain: "a", Address: serve(t, p.plain), Concurrency: 8,
	})
	if edit != nil {
		edit(f)
	}
	p.engineURL = "http://" + f.Defaults.BackendServers[0].Address
	p.plainURL = "http://" + f.Defaults.BackendServers[2].Address
	p.fleet = f
	p.start(f)
	return p
}

func (p *testProxy) start(f *configurer.Fleet) {
	var tables atomic.Pointer[dispatcher.Table]
	tables.Store(dispatcher.NewTable(f))
	d := dispatcher.New(dispatcher.Options{Tables: &tables, FailureDomain: "a", Metrics: p.metrics})
	p.server = server.New(server.Options{Dispatcher: d, Tables: &tables, Metrics: p.metrics, ReadinessLag: -1, Finder: p.finder})
	p.url = "http://" + serve(p.t, p.server)
}

// serve starts h on a loopback address and returns the address.
func serve(t testing.TB, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// post sends a POST request with the test customer's key. header holds further
// names and values in turn.
func (p *testProxy) post(target, body string, header ...string) *http.Response {
	p.t.Helper()
	req, err := http.NewRequest(http.MethodPost, p.url+target, strings.NewReader(body))
	if err != nil {
		p.t.Fatal(err)
	}
	return p.do(req, header...)
}

func (p *testProxy) do(req *http.Request, header ...string) *http.Response {
	p.t.Helper()
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { res.Body.Close() })
	return res
}

// readStream returns the text of a stream, the data of its events, and whether
// it ended with the terminal marker.
func readStream(t *testing.T, r io.Reader) (text string, payloads []string, done bool) {
	t.Helper()
	scan := bufio.NewScanner(r)
	for scan.Scan() {
		data, ok := strings.CutPrefix(scan.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		payloads = append(payloads, data)
		var c struct {
			Choices []struct {
				Delta struct{ Content string }
				Text  string
			}
		}
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatalf("event %q: %v", data, err)
		}
		for _, x := range c.Choices {
			text += x.Delta.Content + x.Text
		}
	}
	return text, payloads, done
}

func chatBody(prompt string, tokens int, stream bool) string {
	b, _ := json.Marshal(map[string]any{
		"model": "brief-model", "max_tokens": tokens, "stream": stream,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if !stream {
		b = bytes.Replace(b, []byte(`,"stream":false`), nil, 1)
	}
	return string(b)
}

func TestStreamReachesCaller(t *testing.T) {
	p := newTestProxy(t, nil)
	res := p.post("/v1/chat/completions", chatBody("write a scene", 40, true))
	text, payloads, done := readStream(t, res.Body)
	if diff := cmp.Diff(faker.Text(faker.ChatPrompt("write a scene"), 40), text); diff != "" {
		t.Errorf("text differs (-want +got):\n%s", diff)
	}
	if len(payloads) != 40 || !done || res.Header.Get(server.RequestHeader) == "" {
		t.Errorf("got %d events, done %v, header %v", len(payloads), done, res.Header)
	}
}

func TestFilingRunsOnce(t *testing.T) {
	p := newTestProxy(t, nil)
	var answers []string
	for range 2 {
		res := p.post("/services/dossier/filings", `{"grant":1}`, dispatcher.KeyHeader, "f-1")
		b, err := io.ReadAll(res.Body)
		if err != nil || res.StatusCode != http.StatusOK {
			t.Fatalf("status %d, body %s, error %v", res.StatusCode, b, err)
		}
		answers = append(answers, string(b))
	}
	if answers[0] != answers[1] {
		t.Errorf("answers differ: %s and %s", answers[0], answers[1])
	}
	if diff := cmp.Diff(map[string]int{"f-1": 1}, p.plain.Executions()); diff != "" {
		t.Errorf("executions differ (-want +got):\n%s", diff)
	}
}

func TestTextAnswerResumesAfterEngineFailure(t *testing.T) {
	p := newTestProxy(t, nil)
	p.engines[0].Inject(faker.Fault{Kind: faker.DieMidStream, AfterTokens: 5, Count: 1})
	p.engines[1].Inject(faker.Fault{Kind: faker.DieMidStream, AfterTokens: 5, Count: 1})
	res := p.post("/v1/chat/completions", chatBody("a long brief", 30, false))
	var got struct {
		Object  string
		Choices []struct {
			Message struct{ Role, Content string }
		}
	}
	if err := json.NewDecoder(res.Body).Decode(&got); err != nil || len(got.Choices) != 1 {
		t.Fatalf("answer %+v, error %v", got, err)
	}
	if diff := cmp.Diff(faker.Text(faker.ChatPrompt("a long brief"), 30), got.Choices[0].Message.Content); diff != "" {
		t.Errorf("text differs (-want +got):\n%s", diff)
	}
	if p.engines[0].InjectedCount(faker.DieMidStream)+p.engines[1].InjectedCount(faker.DieMidStream) == 0 {
		t.Error("no engine failed")
	}
}
