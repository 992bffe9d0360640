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
	// maxAnswerBytes limits the size of the answer to a call.
	maxAnswerBytes = 16 << 20
	// maxStoredAnswerBytes limits the size of an answer that is stored with a
	// finished request.
	maxStoredAnswerBytes = 64 << 10
)

var (
	errNoLength       = errors.New("the end of the answer cannot be distinguished from a broken connection")
	errAnswerTooLarge = errors.New("the answer is too large")
)

// call runs a request that is not a generation.
func (t *task) call() *refuser.Refusal {
	if t.ledger.nonIdempotent && t.r.Key != "" {
		return t.callWithClaim()
	}
	if refusal := t.run(t.callOnce); refusal != nil {
		return refusal
	}
	t.deliver(t.lastAnswer)
	return nil
}

// callOnce performs one attempt of a call.
func (t *task) callOnce(a *attempt) result {
	res, failure := a.exchange(t.r.Body, connector.Limits{FirstByte: a.firstByteTimeout(), BetweenBytes: a.betweenBytesTimeout()})
	if failure != nil {
		return failure
	}
	t.markFirstToken()
	body, err := readBody(res)
	if err != nil {
		return lost{err: err}
	}
	t.lastAnswer = &Answer{Head: Head{Status: res.Status, Header: ForwardedHeader(res.Header)}, Body: body}
	if res.Status >= http.StatusInternalServerError || res.Status == http.StatusTooManyRequests {
		return errorStatus{res.Status}
	}
	return complete{}
}

// deliver sends a complete answer to the caller.
func (t *task) deliver(a *Answer) {
	if t.adopted || len(a.Body) <= maxStoredAnswerBytes {
		t.storedAnswer = a
	}
	t.begin(a.headWithLength())
	t.write(a.Body)
}

// headWithLength returns the head with the Content-Length of the body.
func (a *Answer) headWithLength() Head {
	h := Head{Status: a.Status, Header: a.Header.Clone()}
	if len(a.Body) > 0 {
		h.Header.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	return h
}

// readBody reads a complete body. It returns errNoLength if the end of the body
// cannot be distinguished from a broken connection, and errAnswerTooLarge for a
// body over maxAnswerBytes.
func readBody(res *connector.Response) ([]byte, error) {
	if !res.Delimited {
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

// hopByHopHeaders are not forwarded, because they belong to a single connection
// (RFC 9110, section 7.6.1) or to a single attempt.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Proxy-Connection": true, "Date": true, AttemptHeader: true,
}

// ForwardedHeader returns the headers of h that are passed on to the next hop.
func ForwardedHeader(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for k, v := range h {
		if !hopByHopHeaders[k] && !namedByConnection(h, k) {
			out[k] = v
		}
	}
	return out
}

// namedByConnection reports whether the Connection header lists k.
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
