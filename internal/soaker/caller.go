package soaker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform/standin"
)

const (
	// callerCount is the number of concurrent callers. Each has its own
	// connections.
	callerCount = 8
	// resumerCount is the number of further callers, which send resumable calls alone.
	resumerCount = 16
	// callerTimeout bounds one request of a caller.
	callerTimeout = 2 * time.Second
	// callInterval is the pause between two requests of a caller.
	callInterval = 15 * time.Millisecond
	// storeInterval is the pause between two documents of the operator.
	// operatorTimeout bounds one request of the operator.
	storeInterval   = 200 * time.Millisecond
	operatorTimeout = 2 * time.Second
	// customerKey is the API key of the only customer.
	customerKey = "k1"
	customer    = "foodbank"
)

// The request paths. They differ in how often a request may run.
const (
	nonIdempotentPath = "/file/1"  // runs at most once
	idempotentPath    = "/look/1"  // may run again
	streamPath        = "/draft/1" // returns a stream
	resumablePath     = "/tale/1"  // returns a stream that may be resumed
)

// runCaller sends requests one after the other until ctx ends. n numbers the
// caller and seeds its choices.
func (s *soak) runCaller(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, uint64(n)+1))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		id := identifier.RequestID(fmt.Sprintf("c%d-%d", n, i))
		path := []string{nonIdempotentPath, idempotentPath, streamPath}[rng.IntN(3)]
		if n >= callerCount {
			path = resumablePath
		}
		t := try{id: id, host: rng.IntN(len(s.entries)), start: time.Now()}
		s.ledger.recordStart(id, path == idempotentPath || path == resumablePath)
		var notRun bool
		t.outcome, notRun = s.call(client, s.entries[t.host], id, path)
		t.end = time.Now()
		s.ledger.recordOutcome(t, notRun)
		time.Sleep(callInterval)
		if n >= callerCount+resumerCount && t.outcome != fmt.Sprint(http.StatusOK) {
			time.Sleep(crowdPause)
		}
	}
}

// call sends one request and returns its outcome, and whether the response says
// that the request did not run.
func (s *soak) call(client *http.Client, entry *process, id identifier.RequestID, path string) (outcome string, notRun bool) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	var isKept, isSent bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      func(i httptrace.GotConnInfo) { isKept = i.Reused },
		WroteRequest: func(i httptrace.WroteRequestInfo) { isSent = i.Err == nil },
	})
	res, err := post(ctx, client, entry, path, headerOf(id, path))
	if err != nil && isKept && isSent && !errors.Is(err, context.DeadlineExceeded) {
		return unanswered, false
	}
	if err != nil {
		return outcomeOf(err), false
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if res.StatusCode == http.StatusOK {
		s.checkResponse(id, path, string(body), err == nil)
	}
	if slices.Contains(neverDue, res.StatusCode) {
		s.ledger.addViolation("sound call %s with a known route and key gets %d from %s: %s", id, res.StatusCode, entry.name, body)
	}
	if err != nil {
		return "broken off: " + outcomeOf(err), false
	}
	return fmt.Sprint(res.StatusCode), standin.IsRefusal(res)
}

// post sends one request to an entry host.
func post(ctx context.Context, client *http.Client, entry *process, path string, header http.Header) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.address(standin.FrontendPort)+path, strings.NewReader("x"))
	if err != nil {
		return nil, err
	}
	r.Host, r.Header = standin.CallHost, header
	return client.Do(r)
}

// The outcomes of calls whose connection ended without an answer, after the request was
// sent on a kept connection, or within the answer.
const (
	unanswered = "sent and not answered"
	brokenOff  = "broken off: no connection"
)

// neverDue are statuses that say that a call itself is at fault.
var neverDue = []int{http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound}

// headerOf returns the header of a call. Streams have prompts, whose shared parts
// those of fatal calls contain too.
func headerOf(id identifier.RequestID, path string) http.Header {
	if path == streamPath {
		return standin.PromptHeader(id, customerKey, callerTimeout, sharedPart, string(id))
	}
	return standin.CallHeader(id, customerKey, callerTimeout)
}

// outcomeOf classifies a transport error for the report.
func outcomeOf(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "no answer in time"
	}
	return "no connection"
}

// checkResponse checks that a response belongs to its request and is complete,
// or is a prefix of it if the connection broke.
func (s *soak) checkResponse(id identifier.RequestID, path, body string, isComplete bool) {
	want := standin.Line(id, customer)
	if path == streamPath || path == resumablePath {
		want = ""
		for n := range standin.StreamEvents {
			want += standin.Event(id, n+1)
		}
	}
	if !strings.HasPrefix(want, body) || isComplete && body != want {
		s.ledger.addViolation("call %s gets another answer (whole: %v): %q", id, isComplete, body)
	}
}

// runOperator stores and reads one document after the other until ctx ends.
func (s *soak) runOperator(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.opts.Seed, 0))
	for ctx.Err() == nil {
		s.revision++
		s.storeDocument(s.keepers[rng.IntN(len(s.keepers))], s.revision)
		s.readDocument(s.keepers[rng.IntN(len(s.keepers))])
		time.Sleep(storeInterval)
	}
}

// storeDocument stores a document with revision r through k and reports whether
// it was acknowledged.
func (s *soak) storeDocument(k *process, r identifier.Revision) bool {
	document := standin.Document(r, `["`+customerKey+`"]`)
	status, _ := s.sendRequest(http.MethodPut, k.address(standin.OperatorPort)+standin.DocumentPath, document)
	if status == http.StatusOK {
		s.ledger.recordAcknowledged(r)
	}
	return status == http.StatusOK
}

// readDocument reads the document through k and reports whether k returned it. A
// revision older than the newest acknowledged one is a violation.
func (s *soak) readDocument(k *process) bool {
	acknowledged := s.ledger.newestAcknowledged()
	status, body := s.sendRequest(http.MethodGet, k.address(standin.OperatorPort)+standin.DocumentPath, "")
	if status != http.StatusOK {
		return false
	}
	r, err := standin.RevisionOf(body)
	if err != nil || r < acknowledged {
		s.ledger.addViolation("%s reads revision %d (%v) after %d was acknowledged", k.name, r, err, acknowledged)
	}
	return true
}

// sendRequest sends a request of the operator and returns the status and the
// body. The status is 0 if there is no complete response.
func (s *soak) sendRequest(method, url, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil
	}
	res, err := s.operators.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, b
}
