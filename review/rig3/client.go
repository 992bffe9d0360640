package main

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"
)

// appHost is the host name that clients use, and appKey their key.
const (
	appHost = "app.example"
	appKey  = "i9n73hh2b9wu3fexd9dn"
)

// newClient returns a client that keeps its channel open.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}}
}

// newRequest returns a request of a client with a time budget.
func newRequest(ctx context.Context, m *machine, method, path, id string, budget time.Duration) *http.Request {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.frontend()+path, nil)
	if err != nil {
		panic(err) // not reached: the address is well-formed
	}
	req.Host = appHost
	req.Header.Set("Authorization", "Token "+appKey)
	req.Header.Set("Cyclamenhub-Attempt-Id", id)
	req.Header.Set("Cyclamenhub-Deadline-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	return req
}

// callOnce makes a call and returns its status, or 0 if no whole answer came within the
// time budget.
func callOnce(ctx context.Context, c *http.Client, req *http.Request, budget time.Duration) int {
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	res, err := c.Do(req.WithContext(ctx))
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}
