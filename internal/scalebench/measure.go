package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/identifier"
)

const (
	// startTimeout is how long a fleet may take to start.
	startTimeout = 3 * time.Minute
	// inForceTimeout is how long a change may take until it is in force on
	// every host.
	inForceTimeout = time.Minute
	// pollInterval is the interval at which the status is polled.
	pollInterval = 100 * time.Millisecond
)

// measure starts a fleet of n hosts, measures it and stops it.
func measure(ctx context.Context, o *options, n int) (sizeResult, error) {
	f, err := newFleet(o, n)
	if err != nil {
		return sizeResult{}, err
	}
	defer f.stopAll()
	if err := f.startAll(o.Cyclamend); err != nil {
		return sizeResult{}, err
	}
	if _, err := f.awaitRevision(ctx, 1, startTimeout); err != nil {
		return sizeResult{}, err
	}
	out := sizeResult{Hosts: n}
	before, err := f.sampleAll(ctx)
	if err != nil {
		return out, err
	}
	time.Sleep(o.Idle)
	after, err := f.sampleAll(ctx)
	if err != nil {
		return out, err
	}
	out.Idle = f.costs(before, after)
	return out, f.measureChanges(ctx, o, &out)
}

// measureChanges makes configuration changes one after the other and measures
// them.
func (f *fleet) measureChanges(ctx context.Context, o *options, out *sizeResult) error {
	before, err := f.sampleAll(ctx)
	if err != nil {
		return err
	}
	started := time.Now()
	var accept, inForce []float64
	for i := range o.Changes {
		sent := time.Now()
		r, err := f.putConfig(ctx, identifier.Revision(i+1), fleetDocument(o, 1001+i))
		if err != nil {
			return err
		}
		accepted := time.Now()
		last, err := f.awaitRevision(ctx, r, inForceTimeout)
		if err != nil {
			return err
		}
		accept = append(accept, milliseconds(accepted.Sub(sent)))
		inForce = append(inForce, milliseconds(last.Sub(accepted)))
	}
	out.ChangesPerSecond = float64(o.Changes) / time.Since(started).Seconds()
	after, err := f.sampleAll(ctx)
	if err != nil {
		return err
	}
	out.Changing = f.costs(before, after)
	out.AcceptP50 = quantile(accept, 0.5)
	out.InForceP50, out.InForceP99, out.InForceMax = quantile(inForce, 0.5), quantile(inForce, 0.99), quantile(inForce, 1)
	return nil
}

// milliseconds returns d in milliseconds. A negative d, which differing clocks
// can cause, gives 0.
func milliseconds(d time.Duration) float64 { return max(float64(d)/float64(time.Millisecond), 0) }

// putConfig changes the configuration and returns the new revision.
func (f *fleet) putConfig(ctx context.Context, base identifier.Revision, document interface{ Encode() []byte }) (identifier.Revision, error) {
	b, err := json.Marshal(administrator.ConfigurationChange{
		ChangeID: identifier.NewChangeID(), Base: base, Reason: "measurement", Document: document.Encode(),
	})
	if err != nil {
		return 0, err
	}
	var c administrator.ChangeResult
	err = f.callOperatorAPI(ctx, http.MethodPut, "/v1/config", b, &c)
	return c.Revision, err
}

// awaitRevision waits until the revision is in force on every host, and returns
// the time at which the last host applied it.
func (f *fleet) awaitRevision(ctx context.Context, r identifier.Revision, limit time.Duration) (time.Time, error) {
	var st administrator.ConfigurationStatus
	var err error
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(pollInterval) {
		if ctx.Err() != nil {
			return time.Time{}, ctx.Err()
		}
		st = administrator.ConfigurationStatus{}
		err = f.callOperatorAPI(ctx, http.MethodGet, "/v1/config/status", nil, &st)
		if last, ok := f.inForceEverywhere(st, r); err == nil && ok {
			return last, nil
		}
	}
	return time.Time{}, fmt.Errorf("revision %d was not in force on all hosts within %v; %d hosts known, last error: %w", r, limit, len(st.Hosts), err)
}

// inForceEverywhere reports whether the revision is in force on every host, and
// when the last host that has it applied it.
func (f *fleet) inForceEverywhere(st administrator.ConfigurationStatus, r identifier.Revision) (last time.Time, ok bool) {
	n := 0
	for _, h := range st.Hosts {
		if h.Revision < r {
			continue
		}
		n++
		if h.Since.After(last) {
			last = h.Since
		}
	}
	return last, n == len(f.nodes)
}

// callOperatorAPI sends a request to the operators' interface of the first node
// and decodes the JSON response into the value that into points to.
func (f *fleet) callOperatorAPI(ctx context.Context, method, path string, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, f.nodes[0].url(operatorPort, path), bytes.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("status %d: %s", resp.StatusCode, b)
	}
	return json.Unmarshal(b, into)
}
