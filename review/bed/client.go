package bed

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Answer is what a client got for a request.
type Answer struct {
	ID string
	// SentAt is when the client began to send, DoneAt when the answer had come.
	SentAt, DoneAt time.Duration
	// Status is 0 if no complete answer came.
	Status  int
	Sealed  bool
	Leaving bool
	Body    string
	Err     error
}

// Send sends a request to a machine on one of the connections of c and returns the
// answer.
func (b *Bed) Send(c *http.Client, m *Machine, path, id string, body []byte, deadline time.Duration) Answer {
	a := Answer{ID: id, SentAt: b.Record.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Frontend()+path, bytes.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host, req.Header = Host, RequestHeader(id, deadline)
	res, err := c.Do(req)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		a.Body, a.Sealed, a.Leaving = string(text), res.Header.Get(HeaderSeal) != "", res.Header.Get(HeaderLeaving) != ""
		if err == nil {
			a.Status = res.StatusCode
		}
	}
	a.Err, a.DoneAt = err, b.Record.Now()
	b.Record.Add("client: %s at %s, sent at %.3f s: status %d, leaving %v, %v", id, m.Name, a.SentAt.Seconds(), a.Status, a.Leaving, err)
	return a
}

// Load sends requests until Stop, each after the answer to the one before.
type Load struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu      sync.Mutex
	answers []Answer
}

// StartLoad starts clients that send requests to a machine, each after a pause. The ids
// begin with prefix.
func (b *Bed) StartLoad(m *Machine, path, prefix string, clients int, body []byte, deadline, pause time.Duration) *Load {
	l := &Load{stop: make(chan struct{})}
	for n := range clients {
		l.wg.Go(func() {
			c := &http.Client{Transport: &http.Transport{}}
			defer c.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				case <-time.After(pause):
				}
				a := b.Send(c, m, path, fmt.Sprintf("%s-%d-%d", prefix, n, i), body, deadline)
				l.mu.Lock()
				l.answers = append(l.answers, a)
				l.mu.Unlock()
			}
		})
	}
	return l
}

// Stop ends the clients and returns the answers.
func (l *Load) Stop() []Answer {
	close(l.stop)
	l.wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answers
}
