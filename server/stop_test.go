package server_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/internal/faker"
	"cyclamenhub.org/refuser"
)

// TestStopCompletesRunningRequests checks that Stop lets running streams
// complete and returns after them, and that the stopped server no longer
// answers.
func TestStopCompletesRunningRequests(t *testing.T) {
	p := newTestProxy(t, nil)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- p.server.Serve(l) }()
	p.url = "http://" + l.Addr().String()
	for _, e := range p.engines {
		e.Inject(faker.Fault{Kind: faker.Slow, Factor: 1, Delay: time.Millisecond})
	}
	const streams = 8
	var wg sync.WaitGroup
	for range streams {
		// The header arrives with the first event, so that each stream is
		// running when post returns.
		res := p.post("/v1/chat/completions", chatBody("long", 300, true))
		wg.Go(func() {
			text, _, done := readStream(t, res.Body)
			if diff := cmp.Diff(faker.Text(faker.ChatPrompt("long"), 300), text); diff != "" || !done {
				t.Errorf("done %v, text differs (-want +got):\n%s", done, diff)
			}
		})
	}
	if n := p.engines[0].Stats().Running + p.engines[1].Stats().Running; n != streams {
		t.Fatalf("%d streams are running, want %d", n, streams)
	}
	if err := p.server.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	wg.Wait()
	if err := <-served; err != nil {
		t.Error(err)
	}
	if res, err := http.Get(p.url + "/readyz"); err == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		t.Error("the stopped server still answers")
	}
}

// TestRefuseNew checks that new requests are refused as not run, with a
// Retry-After, and that the connection is closed.
func TestRefuseNew(t *testing.T) {
	p := newTestProxy(t, nil)
	p.server.RefuseNew()
	res := p.post("/services/dossier/filings", "{}")
	f := refusalOf(t, res)
	if f.Kind() != refuser.Stopping || !f.IsNotRun() || res.Header.Get("Retry-After") == "" || !res.Close {
		t.Errorf("refusal %v, header %v", f, res.Header)
	}
	if len(p.plain.Executions()) != 0 {
		t.Error("the refused call ran")
	}
}
