package dispatcher

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"cyclamenhub.org/connector"
	"cyclamenhub.org/refuser"
)

const (
	// maxAnswerBytes bounds the answer of a call.
	maxAnswerBytes = 16 << 20
	// maxKeptBytes bounds the answer that is kept with a finished request.
	maxKeptBytes = 64 << 10
)

var (
	errNoLength       = errors.New("the answer declares no length")
	errAnswerTooLarge = errors.New("the answer is too large")
)

// call runs a plain call.
func (t *task) call() *refuser.Refusal {
	if t.ledger.nonIdempotent && t.r.Key != "" {
		return t.claimed()
	}
	if refusal := t.run(t.callOnce); refusal != nil {
		return refusal
	}
	t.deliver(t.held)
	return nil
}

// callOnce performs one attempt of a call.
func (t *task) callOnce(a *attempt) result {
	res, failure := a.exchange(t.r.Body, connector.Limits{FirstByte: a.firstByte(), Silence: a.betweenBytes()})
	if failure != nil {
		return failure
	}
	t.noteFirstToken()
	body, err := readWhole(res)
	if err != nil {
		return lost{err: err}
	}
	t.held = &Answer{Head: Head{Status: res.Status, Header: ForwardedHeader(res.Header)}, Body: body}
	if res.Status >= http.StatusInternalServerError || res.Status == http.StatusTooManyRequests {
		return answered{res.Status}
	}
	return whole{}
}

// deliver sends a whole answer to the caller.
func (t *task) deliver(a *Answer) {
	if t.adopted || len(a.Body) <= maxKeptBytes {
		t.kept = a
	}
	t.begin(a.wholeHead())
	t.write(a.Body)
}

// wholeHead returns the head with the body's length.
func (a *Answer) wholeHead() Head {
	h := Head{Status: a.Status, Header: a.Header.Clone()}
	if len(a.Body) > 0 {
		h.Header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	return h
}

// readWhole reads a body that tells its own end.
func readWhole(res *connector.Response) ([]byte, error) {
	if !res.Bounded {
		return nil, errNoLength
	}
	if res.Length > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	if n := res.Length; n >= 0 {
		b := make([]byte, n)
		_, err := io.ReadFull(res.Body, b)
		return b, err
	}
	b, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err == nil && len(b) > maxAnswerBytes {
		err = errAnswerTooLarge
	}
	return b, err
}

// hopHeaders belong to one connection (RFC 9110, section 7.6.1).
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Proxy-Connection": true, "Date": true, AttemptHeader: true,
}

// ForwardedHeader returns the headers that go on to the next hop.
func ForwardedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		if !hopHeaders[k] && !namedByConnection(h, k) {
			out[k] = v
		}
	}
	return out
}

// namedByConnection reports whether the Connection header names k.
func namedByConnection(h http.Header, k string) bool {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if http.CanonicalHeaderKey(strings.TrimSpace(name)) == k {
				return true
			}
		}
	}
	return false
}
