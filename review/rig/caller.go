package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Caller is a client with one connection to an entry host, which it keeps.
type Caller struct {
	// Parts are what the prompts of all its calls begin with, as in "aa01:100,bb01:100".
	Parts string

	conn net.Conn
	br   *bufio.Reader
}

// Connect opens the connection of a caller.
func Connect(address string) (*Caller, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Caller{Parts: "aa01:100", conn: c, br: bufio.NewReader(c)}, nil
}

// Close closes the connection.
func (c *Caller) Close() { _ = c.conn.Close() }

// Answer is what a caller got.
type Answer struct {
	// Status is 0 if there was no answer.
	Status int
	// Sealed is whether the answer bears the seal of a server.
	Sealed bool
	Header http.Header
	// Complete is whether the answer ended as complete.
	Complete bool
	// Closes is whether the answer says that the connection ends with it.
	Closes bool
	// Events is the number of whole events of a stream, in order from the first.
	Events int
	Body   string
	Err    error
}

// String returns the answer as the record shows it.
func (a Answer) String() string {
	return fmt.Sprintf("status %d, sealed %t, events %d, complete %t, error %v", a.Status, a.Sealed, a.Events, a.Complete, a.Err)
}

// Call sends a call and returns its answer.
func (c *Caller) Call(method, path, id string, timeout time.Duration) Answer {
	_ = c.conn.SetDeadline(time.Now().Add(timeout + time.Second))
	body := ""
	if method == http.MethodPost {
		body = "filing " + id
	}
	req := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nCyclamenhub-Attempt-Id: %s\r\nAuthorization: Token %s\r\nCyclamenhub-Deadline-Ms: %d\r\n",
		method, path, Host, id, Key, timeout.Milliseconds())
	if strings.HasPrefix(path, Draft) || strings.HasPrefix(path, Rewrite) {
		req += fmt.Sprintf("Cyclamenhub-Model: m\r\nCyclamenhub-Token-Count: 200,80\r\nCyclamenhub-Prefix-Hash: %s,%s:100\r\n", c.Parts, id)
	}
	if method == http.MethodPost {
		req += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	if _, err := io.WriteString(c.conn, req+"\r\n"+body); err != nil {
		return Answer{Err: err}
	}
	res, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	b, err := io.ReadAll(res.Body)
	a := Answer{Status: res.StatusCode, Sealed: res.Header.Get("Cyclamenhub-Response-Seal") != "", Header: res.Header, Body: string(b), Err: err, Closes: res.Close}
	a.Complete = err == nil && (res.ContentLength >= 0 || len(res.TransferEncoding) > 0)
	for strings.Contains(a.Body, fmt.Sprintf("id: %d\ndata: %s-%d\n\n", a.Events+1, id, a.Events+1)) {
		a.Events++
	}
	return a
}

// ErrNoMachine means that no machine could be reached.
var ErrNoMachine = errors.New("no machine could be reached")
