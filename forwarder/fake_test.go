package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cyclamenhub.org/accountant"
	"cyclamenhub.org/connector"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/matcher"
	"cyclamenhub.org/permitter"
	"cyclamenhub.org/placer"
	"cyclamenhub.org/sharer"
	"cyclamenhub.org/timer"
)

// The headers of testCodec.
const (
	testID      = "X-Id"
	testKey     = "X-Key"
	testSeal    = "X-Seal"
	testNotRun  = "X-Not-Run"
	testEvent   = "X-After"
	testServer  = "X-Server"
	testLimit   = "X-Limit"
	testLeaving = "X-Leaving"
	testPause   = "X-Pause"
	testParts   = "X-Parts"
)

// testReport is the path of the report of a backend server.
const testReport = "/report"

// testCodec encodes and decodes the headers above.
type testCodec struct{}

func (testCodec) Decode(r *http.Request) (*describer.Call, error) {
	h := r.Header
	c := &describer.Call{ID: identifier.AttemptID(h.Get(testID)), Key: h.Get(testKey), LastEvent: h.Get(testEvent), Header: h.Clone()}
	for id := range strings.FieldsSeq(h.Get(testParts)) {
		c.Parts = append(c.Parts, describer.PromptPart{ID: identifier.PartID(id)})
	}
	return c, nil
}

func (testCodec) Encode(c *describer.Call, a *describer.Attempt) http.Header {
	h := c.Header.Clone()
	h.Del("Content-Length")
	h.Del("Accept-Encoding")
	h.Set(testServer, string(a.Server))
	if a.LastEvent != "" {
		h.Set(testEvent, a.LastEvent)
	}
	return h
}

func (testCodec) Relay(h http.Header, _ time.Duration) http.Header { return h.Clone() }

func (testCodec) Reply(_ int, h http.Header) describer.Reply {
	reply := describer.Reply{ID: identifier.AttemptID(h.Get(testID)), NotRun: h.Get(testNotRun) != "", Sealed: h.Get(testSeal) != ""}
	if s := h.Get(testLimit); s != "" {
		n, err := strconv.ParseFloat(s, 64)
		limit := identifier.RequestRate(n)
		reply.Limit = &limit
		if err != nil {
			reply.Limit, reply.Unreadable = nil, []describer.Announcement{describer.AnnouncedLimit}
		}
	}
	reply.Leaving = h.Get(testLeaving) != ""
	if d, err := time.ParseDuration(h.Get(testPause)); err == nil {
		reply.Pause = d
	}
	return reply
}

func (testCodec) ReportPath() string { return testReport }

func (testCodec) StartedAt(report []byte) (int64, bool) {
	n, err := strconv.ParseInt(string(report), 10, 64)
	return n, err == nil
}

func (testCodec) RetryAfter(h http.Header, after time.Duration) { h.Set("Retry-After", after.String()) }

// received is a request as a backend server received it.
type received struct {
	method, target, body string
	header               http.Header
}

// backends are fake backend servers. Each request gets the next scripted
// response, whichever server it reaches. A response is raw bytes; the
// connection is closed after one that ends with closeAfter and otherwise stays
// open.
type backends struct {
	t testing.TB

	mu        sync.Mutex
	responses []string
	got       []received
	// hold, if not nil, delays responses until it is closed.
	hold chan struct{}
}

// closeAfter at the end of a response closes the connection after it.
const closeAfter = "\x00close"

// start starts a server and returns its address.
func (b *backends) start() string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return ln.Addr().String()
}

// serve answers the requests of one connection.
func (b *backends) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		scripted := b.next()
		early := strings.HasPrefix(scripted, earlyResponse)
		if early {
			_, _ = io.WriteString(c, strings.TrimPrefix(scripted, earlyResponse))
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		b.mu.Lock()
		b.got = append(b.got, received{method: r.Method, target: r.RequestURI, body: string(body), header: r.Header})
		b.mu.Unlock()
		if early {
			continue
		}
		if b.hold != nil {
			<-b.hold
		}
		text, closes := strings.CutSuffix(scripted, closeAfter)
		_, _ = io.WriteString(c, text)
		if closes {
			return
		}
	}
}

// earlyResponse at the start of a response sends it before the body is read.
const earlyResponse = "\x00early"

// next returns the next scripted response.
func (b *backends) next() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.responses) == 0 {
		return sealedResponse(http.StatusInternalServerError, "", "no response is scripted")
	}
	a := b.responses[0]
	b.responses = b.responses[1:]
	return a
}

// requests returns the requests received so far.
func (b *backends) requests() []received {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]received(nil), b.got...)
}

// forget drops the requests received so far.
func (b *backends) forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.got = nil
}

// sealedResponse returns a sealed response with a content length.
func sealedResponse(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s: s\r\n%sContent-Length: %d\r\n\r\n%s", status, testSeal, header, len(body), body)
}

// notRunResponse is the response of a full backend server.
const notRunResponse = "HTTP/1.1 503 X\r\n" + testNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"

// streamHead begins a chunked stream.
const streamHead = "HTTP/1.1 200 OK\r\n" + testSeal + ": s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk returns one chunk of a body.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// event returns one event of a stream.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: token-%d\n\n", id, id) }

// harness is a forwarder in front of three fake backend servers.
type harness struct {
	*Forwarder
	backends  *backends
	url       string
	meter     *accountant.Meter
	isCurrent bool
	// parts are those of the prompts of calls, separated by spaces.
	parts string
	// lastEvent is the event after which callers resume.
	lastEvent string
}

// newHarness returns a harness whose backend servers return the scripted
// responses.
func newHarness(t testing.TB, responses ...string) *harness {
	b := &backends{t: t, responses: responses}
	clock := timer.System{}
	h := &harness{backends: b, meter: accountant.NewMeter(time.Hour), isCurrent: true}
	h.Forwarder = New(Options{
		Codec: testCodec{}, Pool: connector.NewPool(connector.Options{}),
		Placer: placer.New(placer.Options{}), Limiter: sharer.NewLimiter(clock),
		Meter: h.meter, Retries: RetryBudget{Ratio: 0.1, Reserve: 5},
		Current: func() bool { return h.isCurrent }, Clock: clock, Log: slog.New(slog.DiscardHandler),
	})
	d := &describer.Document{
		Services: []describer.Service{{Name: "cases"}},
		Customers: []describer.Customer{
			{Name: "foodbank", Keys: []string{"key"}},
			{Name: "choir", Keys: []string{"low"}, Rate: 0.001, Burst: 1},
		},
	}
	for _, r := range []describer.Route{
		{Name: "look", Prefix: "/look/", Kind: describer.Idempotent, MaxAttempts: 2},
		{Name: "file", Prefix: "/file/", Kind: describer.NonIdempotent, MaxAttempts: 1},
		{Name: "draft", Prefix: "/draft/", Kind: describer.Streaming, MaxAttempts: 1},
		{Name: "edit", Prefix: "/edit/", Kind: describer.Streaming, MaxAttempts: 2, Resumable: true},
		{Name: "open", Prefix: "/open/", Kind: describer.Idempotent, MaxAttempts: 1, Anonymous: true},
	} {
		r.Host, r.Timeout, r.Target = "127.0.0.1", time.Minute, time.Minute
		r.Split = []describer.Destination{{Service: "cases", Weight: 1}}
		d.Routes = append(d.Routes, r)
	}
	if err := d.Check(); err != nil {
		t.Fatal(err)
	}
	h.SetTable(matcher.NewTable(1, d))
	h.useServers(3)
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	h.url = s.URL
	return h
}

// useServers starts n fake backend servers and lists them alone.
func (h *harness) useServers(n int) {
	addresses := make([]string, n)
	for i := range addresses {
		addresses[i] = h.backends.start()
	}
	h.useAddresses(addresses...)
}

// useAddresses lists backend servers at the given addresses alone.
func (h *harness) useAddresses(addresses ...string) {
	l := &discoverer.Listing{}
	for i, a := range addresses {
		l.Instances = append(l.Instances, describer.Instance{
			ID: identifier.BackendServer(fmt.Sprint("b", i)), Service: "cases", Address: a, Version: "v1", Slots: 4,
		})
	}
	h.SetListing(l)
}

// usePermits gives the placer a clock of its own and makes each request for
// permits grant one for each server that is needed.
func (h *harness) usePermits() *timer.Manual {
	clock := timer.NewManual(time.Unix(1000, 0))
	h.opts.Placer = placer.New(placer.Options{Clock: clock})
	h.opts.RequestPermits = func(context.Context) {
		r := h.opts.Placer.PermitReport()
		g := permitter.Grant{ID: r.Grant + 1, Servers: make(map[identifier.ServerRun]permitter.ServerGrant)}
		for s, sr := range r.Servers {
			if sr.Needed > 0 {
				g.Servers[s] = permitter.ServerGrant{Notice: *sr.Notice, Permits: 1}
			}
		}
		h.opts.Placer.ApplyPermits(g)
	}
	return clock
}

// response is what the caller received.
type response struct {
	status int
	body   string
	// complete is set if the response did not break off.
	complete bool
	header   http.Header
}

// call makes a call with a key.
func (h *harness) call(t testing.TB, method, path, key, body string) response {
	t.Helper()
	return h.callAs(t, "id-1", method, path, key, body)
}

// callAs makes a call with an id, or without one if it is empty.
func (h *harness) callAs(t testing.TB, id, method, path, key, body string) response {
	t.Helper()
	r, err := http.NewRequest(method, h.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if id != "" {
		r.Header.Set(testID, id)
	}
	if key != "" {
		r.Header.Set(testKey, key)
	}
	r.Header.Set(testParts, h.parts)
	if h.lastEvent != "" {
		r.Header.Set(testEvent, h.lastEvent)
	}
	res, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return response{}
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	return response{status: res.StatusCode, body: string(b), complete: err == nil, header: res.Header}
}

// grantOf returns grants that give this host a customer's full rate.
func grantOf(c identifier.Customer, level float64) sharer.Grants {
	return sharer.Grants{Customers: map[identifier.Customer]sharer.Grant{c: {Level: level, Share: 1}}, Others: 1}
}
