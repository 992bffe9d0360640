//go:build crowd

package crowder

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform/standin"
)

const (
	// callTimeout bounds one attempt of an ordinary caller.
	callTimeout = 10 * time.Second
	// patience is how long an ordinary caller asks again. It is longer than any limit
	// on the time of a connection, so that a host may use those to make room.
	patience = 2 * time.Minute
	// retryPause is the pause before another attempt if the answer names none, and
	// maxRetryPause the longest.
	retryPause    = 100 * time.Millisecond
	maxRetryPause = 5 * time.Second
	// ordinaryBytes is the size of the body of an ordinary request.
	ordinaryBytes = 1 << 10
)

// calls counts the attempts, each of which has an id of its own.
var calls atomic.Int64

// newCallID returns the id of a new attempt.
func newCallID() identifier.RequestID {
	return identifier.RequestID(fmt.Sprintf("call-%d", calls.Add(1)))
}

// callOnce sends an ordinary request. It returns when to come back if it was not served.
func (s *system) callOnce() (time.Duration, error) {
	return s.call(s.t.Context(), make([]byte, ordinaryBytes))
}

// call sends a request with a body, which may run twice.
func (s *system) call(ctx context.Context, body []byte) (time.Duration, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.entry.address(standin.FrontendPort)+"/look/1", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	id := newCallID()
	req.Host, req.Header = standin.CallHost, standin.CallHeader(id, key, callTimeout)
	status, header, answer, err := send(req)
	if err != nil {
		return retryPause, err
	}
	if want := standin.Line(id, "foodbank"); status != http.StatusOK || answer != want {
		return retryAfter(header), fmt.Errorf("status %d, answer %q, want 200 and %q", status, answer, want)
	}
	return 0, nil
}

// retryAfter returns when the answer with a header tells a caller to come back.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 {
		return retryPause
	}
	return min(time.Duration(seconds*float64(time.Second)), maxRetryPause)
}

// checkOrdinaryCaller checks that an ordinary caller, who comes back when it is told to
// and after a broken connection, is served at last.
func (s *system) checkOrdinaryCaller() {
	s.t.Helper()
	var last error
	attempts := 0
	for until := time.Now().Add(patience); time.Now().Before(until); {
		attempts++
		pause, err := s.callOnce()
		if err == nil {
			s.t.Logf("the ordinary caller is served at attempt %d", attempts)
			return
		}
		last = err
		if !s.entry.lives() {
			break
		}
		time.Sleep(pause)
	}
	s.t.Errorf("the ordinary caller is not served in %d attempts: %v", attempts, last)
}
