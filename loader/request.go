package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// maxLineBytes limits one line of an event stream.
const maxLineBytes = 1 << 20

// errStreamTruncated means that a stream ended without its terminal marker. Its
// text is the error class in reports.
var errStreamTruncated = errors.New("streamTruncated")

// result is the outcome of one request.
type result struct {
	// firstByte and total count from the scheduled start; betweenEvents holds
	// the times between consecutive events.
	firstByte, total time.Duration
	betweenEvents    []time.Duration
	events           int64
	// failure is empty for a complete answer, otherwise a refusal kind or error
	// class.
	failure string
}

// client sends the requests of one plan.
type client struct {
	plan Plan
	http *http.Client
}

// newClient returns a client that keeps one idle connection for each possible
// in-flight request.
func newClient(p Plan) *client {
	t := &http.Transport{
		MaxIdleConns:        p.Concurrency,
		MaxIdleConnsPerHost: p.Concurrency,
		DisableCompression:  true,
	}
	return &client{plan: p, http: &http.Client{Transport: t, Timeout: p.Timeout}}
}

// send sends request number n, which was scheduled for start.
func (c *client) send(ctx context.Context, n int64, start time.Time) result {
	target := c.plan.Targets[n%int64(len(c.plan.Targets))]
	r, err := http.NewRequestWithContext(ctx, c.plan.Method, target+c.plan.Path, bytes.NewReader(c.plan.Body))
	if err != nil {
		return result{failure: "request"}
	}
	r.Header.Set("Content-Type", "application/json")
	if c.plan.Key != "" {
		r.Header.Set("Authorization", "Bearer "+c.plan.Key)
	}
	if c.plan.IdempotencyKeys {
		r.Header.Set("Idempotency-Key", string(identifier.NewRequestID()))
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return result{failure: errorClass(err), total: time.Since(start)}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return result{failure: refusalKind(resp), total: time.Since(start)}
	}
	if c.plan.Stream {
		return readStream(resp.Body, start)
	}
	return readBody(resp.Body, start)
}

// readBody reads an answer that is not a stream.
func readBody(r io.Reader, start time.Time) result {
	res := result{firstByte: time.Since(start)}
	if _, err := io.Copy(io.Discard, r); err != nil {
		res.failure = errorClass(err)
	}
	res.total = time.Since(start)
	return res
}

// readStream reads an event stream up to its terminal marker.
func readStream(r io.Reader, start time.Time) result {
	var res result
	var last time.Time
	sc := bufio.NewScanner(r)
	sc.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			res.total = time.Since(start)
			return res
		}
		now := time.Now()
		if res.events == 0 {
			res.firstByte = now.Sub(start)
		} else {
			res.betweenEvents = append(res.betweenEvents, now.Sub(last))
		}
		last = now
		res.events++
	}
	res.total = time.Since(start)
	res.failure = errStreamTruncated.Error()
	return res
}

// refusalKind returns the kind of the refusal in resp, or "status" and the
// status code if there is none.
func refusalKind(resp *http.Response) string {
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes))
	if err == nil {
		var f refuser.Refusal
		if json.Unmarshal(b, &f) == nil && f.Kind() != "" {
			return string(f.Kind())
		}
	}
	return fmt.Sprintf("status%d", resp.StatusCode)
}

// errorClass returns the error class for an error of the HTTP client.
func errorClass(err error) string {
	if errors.Is(err, context.DeadlineExceeded) || strings.Contains(err.Error(), "Client.Timeout") {
		return "timeout"
	}
	return "connection"
}
