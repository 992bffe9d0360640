package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"cyclamenhub.org/refuser"
)

// maxAnswerBytes limits how much of an answer the client reads.
const maxAnswerBytes = 64 << 20

// client calls the operators' API of one host.
type client struct {
	address string
	token   string
	http    http.Client
}

// newClient returns a client for the host in g.
func newClient(g *globals) *client {
	address := g.Address
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return &client{address: strings.TrimRight(address, "/"), token: g.Token, http: http.Client{Timeout: g.Timeout}}
}

// call sends body, if not nil, as JSON and decodes the JSON answer into answer.
func (c *client) call(method, path string, body, answer any) error {
	r, err := c.newRequest(method, path, body)
	if err != nil {
		return err
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return fmt.Errorf("no answer from %s: %w: name a live host with --address; a change may be sent again under its --change-id", c.address, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("the answer broke off: %w: send the command again, a change under its --change-id", err)
	}
	if resp.StatusCode != http.StatusOK {
		return refusalOf(resp.StatusCode, b)
	}
	if err := json.Unmarshal(b, answer); err != nil {
		return fmt.Errorf("%s answered with something else than this API: %w: check --address", c.address, err)
	}
	return nil
}

// newRequest returns a request with the operator's token.
func (c *client) newRequest(method, path string, body any) (*http.Request, error) {
	var content io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, fmt.Errorf("request: %w: check the input for valid JSON", err)
		}
		content = bytes.NewReader(b)
	}
	r, err := http.NewRequest(method, c.address+"/v1"+path, content)
	if err != nil {
		return nil, fmt.Errorf("address %q is malformed: %w: write it as in http://10.0.0.1:8081", c.address, err)
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	return r, nil
}

// refusalOf decodes the refusal in an answer with an error status.
func refusalOf(status int, b []byte) error {
	var f refuser.Refusal
	if err := json.Unmarshal(b, &f); err != nil || f.Kind() == "" {
		return fmt.Errorf("the host answered %d without a reason: check that --address is the operators' address", status)
	}
	return &f
}
