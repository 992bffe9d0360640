package soaker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform/standin"
)

const (
	// callers is how many callers there are, each with connections of its own.
	callers = 8
	// patience is how long a caller waits.
	patience = 2 * time.Second
	// thinkTime passes between two calls of a caller.
	thinkTime = 15 * time.Millisecond
	// storeTime passes between two documents of the operator, who waits for an
	// answer for operatorPatience.
	storeTime        = 200 * time.Millisecond
	operatorPatience = 2 * time.Second
	// key is the one customer's.
	key      = "k1"
	customer = "foodbank"
)

// The paths of calls, by what they may do.
const (
	filePath  = "/file/1"  // at most once
	lookPath  = "/look/1"  // again
	draftPath = "/draft/1" // a stream
)

// caller makes calls one after the other until ctx ends.
func (s *soak) caller(ctx context.Context, n int) {
	rnd := rand.New(rand.NewPCG(s.opts.Seed, uint64(n)+1))
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		id := identifier.RequestID(fmt.Sprintf("c%d-%d", n, i))
		path := []string{filePath, lookPath, draftPath}[rnd.IntN(3)]
		e := s.entries[rnd.IntN(len(s.entries))]
		s.ledger.begin(id, path == lookPath)
		outcome, notRun := s.call(client, e, id, path)
		s.ledger.end(id, outcome, notRun)
		time.Sleep(thinkTime)
	}
}

// call makes one call and returns its outcome, and whether the answer says that
// it did not run.
func (s *soak) call(client *http.Client, e *process, id identifier.RequestID, path string) (outcome string, notRun bool) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.address(standin.FrontendPort)+path, strings.NewReader("x"))
	if err != nil {
		return err.Error(), false
	}
	r.Host, r.Header = standin.CallHost, standin.CallHeader(id, key, patience)
	res, err := client.Do(r)
	if err != nil {
		return outcomeOf(err), false
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if res.StatusCode == http.StatusOK {
		s.checkAnswer(id, path, string(body), err == nil)
	}
	if res.StatusCode == http.StatusNotFound || res.StatusCode == http.StatusUnauthorized {
		s.ledger.breaks("call %s with a known route and key gets %d from %s: %s", id, res.StatusCode, e.name, body)
	}
	if err != nil {
		return "broken off: " + outcomeOf(err), false
	}
	return fmt.Sprint(res.StatusCode), standin.SaysNotRun(res)
}

// outcomeOf returns the kind of an error.
func outcomeOf(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return "no answer in time"
	}
	return "no connection"
}

// checkAnswer checks that an answer is the call's own and whole, or the beginning
// of it where it was broken off.
func (s *soak) checkAnswer(id identifier.RequestID, path, body string, isWhole bool) {
	want := standin.Line(id, customer)
	if path == draftPath {
		want = ""
		for n := range standin.StreamEvents {
			want += standin.Event(id, n+1)
		}
	}
	if !strings.HasPrefix(want, body) || isWhole && body != want {
		s.ledger.breaks("call %s gets another answer (whole: %v): %q", id, isWhole, body)
	}
}

// operator stores one document after the other, and reads, until ctx ends.
func (s *soak) operator(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(s.opts.Seed, 0))
	for ctx.Err() == nil {
		s.revision++
		s.store(s.keepers[rnd.IntN(len(s.keepers))], s.revision)
		s.read(s.keepers[rnd.IntN(len(s.keepers))])
		time.Sleep(storeTime)
	}
}

// store stores a document and reports whether it was acknowledged.
func (s *soak) store(k *process, r identifier.Revision) bool {
	document := standin.Document(r, `["`+key+`"]`)
	status, _ := s.ask(http.MethodPut, k.address(standin.OperatorPort)+standin.DocumentPath, document)
	if status == http.StatusOK {
		s.ledger.acknowledged(r)
	}
	return status == http.StatusOK
}

// read reads the document and reports whether a keeper confirmed it.
func (s *soak) read(k *process) bool {
	least := s.ledger.newest()
	status, body := s.ask(http.MethodGet, k.address(standin.OperatorPort)+standin.DocumentPath, "")
	if status != http.StatusOK {
		return false
	}
	r, err := standin.RevisionOf(body)
	if err != nil || r < least {
		s.ledger.breaks("%s reads revision %d (%v) after %d was acknowledged", k.name, r, err, least)
	}
	return true
}

// ask makes a call of an operator or of the platform and returns its status, 0
// where there is no answer, and the body.
func (s *soak) ask(method, url, body string) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorPatience)
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
