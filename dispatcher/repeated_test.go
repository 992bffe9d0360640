package dispatcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/dispatcher"
)

// repeater answers requests with their bodies, and answers the second request of each
// connection with the previous answer first.
type repeater struct {
	// echoes is set if its own answers bear the ids of the attempts, and repeatsID if
	// the repeated answer does.
	echoes, repeatsID bool
}

// dial opens a connection to the repeater.
func (p repeater) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go p.serve(server)
	return client, nil
}

// serve answers the requests of one connection.
func (p repeater) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	previous := ""
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := r.Header.Get(dispatcher.AttemptHeader)
		own := answerText(id, p.echoes, string(body))
		if n == 1 {
			_, _ = io.WriteString(c, previous)
		}
		_, _ = io.WriteString(c, own)
		previous = answerText(id, p.repeatsID, string(body))
	}
}

// answerText returns an answer, with the id of the attempt if withID is set.
func answerText(id string, withID bool, body string) string {
	line := ""
	if withID {
		line = dispatcher.AttemptHeader + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", line, len(body), body)
}

// TestRepeatedAnswerIsNotTheCallsOwn guards against a caller that gets the answer to an
// earlier call: a faulty server writes it once more on a connection that is used again,
// with or without the id of that call.
func TestRepeatedAnswerIsNotTheCallsOwn(t *testing.T) {
	for _, tc := range []struct {
		name   string
		server repeater
	}{
		{"with its id", repeater{echoes: true, repeatsID: true}},
		{"without id", repeater{echoes: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newFixture(t)
				defer p.close()
				p.useDial(tc.server.dial)
				for _, body := range strings.Fields("a b c d") {
					answered := new(answer)
					if refusal := p.d.Do(t.Context(), p.request("plain", dispatcher.Call{}, http.MethodPost, "/tags", body), answered); refusal != nil {
						t.Fatal(refusal)
					}
					if diff := cmp.Diff(body, answered.body.String()); diff != "" {
						t.Errorf("the answer differs (-want +got):\n%s", diff)
					}
				}
			})
		})
	}
}
