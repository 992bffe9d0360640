package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/faker"
	"cyclamenhub.org/refuser"
)

// filing is a response of the plain service, or a refusal.
type filing struct {
	status  int
	body    string
	refusal *refuser.Refusal
}

// send sends a request to the plain service through host i. key is its
// idempotency key, empty for none.
func (p *partitionedSite) send(i int, path, body, key string) filing {
	p.t.Helper()
	var h http.Header
	if key != "" {
		h = http.Header{"Idempotency-Key": {key}}
	}
	res, err := p.call(p.t.Context(), http.MethodPost, p.caller(i)+"/services/cases"+path, body, h)
	if err != nil {
		p.t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	f := filing{status: res.StatusCode, body: string(b)}
	if res.StatusCode != http.StatusOK {
		f.refusal = new(refuser.Refusal)
		if err := json.Unmarshal(b, f.refusal); err != nil {
			p.t.Fatalf("%s: %v", b, err)
		}
	}
	return f
}

// executions returns how often a request ran, in total over all plain services.
func (p *partitionedSite) executions(key string) int {
	p.t.Helper()
	total := 0
	for _, address := range p.plain {
		b, err := p.get("http://" + address + "/control/executions")
		if err != nil {
			p.t.Fatal(err)
		}
		ran := make(map[string]int)
		if err := json.Unmarshal([]byte(b), &ran); err != nil {
			p.t.Fatal(err)
		}
		total += ran[key]
	}
	return total
}

// isolate cuts failure domain a off in both directions, makes the others accept
// two changes from base on and waits until h0 has lost leadership and has closed
// silent sessions.
func (p *partitionedSite) isolate(base identifier.Revision) {
	p.t.Helper()
	p.setCut('a', true, true)
	p.mustChange(1, "cut-1", base)
	p.mustChange(2, "cut-2", base+1)
	p.await("h0 has lost leadership and has closed silent sessions", func() bool {
		return p.leader(0) < 0 && p.sumMetric("cyclamen_messenger_sessions_closed_silent_total", 0) > 0
	})
	if outbound, inbound := p.lost('a'); outbound == 0 || inbound == 0 {
		p.t.Fatalf("lost %d bytes from failure domain a and %d bytes to it", outbound, inbound)
	}
}

// checkKeyed checks that a filing with a key at host i succeeds and has run
// once in total.
func (p *partitionedSite) checkKeyed(i int, key string) {
	p.t.Helper()
	if f := p.send(i, "/filings", `{"amount":5}`, key); f.status != http.StatusOK {
		p.t.Errorf("%s at h%d: status %d, %s", key, i, f.status, f.body)
	}
	if n := p.executions(key); n != 1 {
		p.t.Errorf("%s ran %d times", key, n)
	}
}

// TestDomainCutOff isolates one of three failure domains for longer than every
// time-out between the hosts. The majority must keep working, the isolated hosts
// must serve what needs no majority, and all must agree after the cut.
//
// The backend servers of the other failure domains stay reachable from the
// isolated hosts: a fleet document has one address for each server, so that the
// test cannot put a link in front of it for some hosts only.
func TestDomainCutOff(t *testing.T) {
	t.Parallel()
	p := newPartitioned(t, 4)
	p.isolate(1)
	p.awaitApplied(1, 3)
	p.awaitApplied(2, 3)
	p.checkKeyed(1, "filing-b")
	var wg sync.WaitGroup
	for _, i := range []int{0, 3} {
		wg.Go(func() { p.checkChangeRefused(i) })
	}
	for _, i := range []int{0, 3} {
		p.checkServedWhileIsolated(i)
	}
	wg.Wait()
	p.checkApplied(0, 1)
	p.checkApplied(3, 1)
	p.setCut('a', false, false)
	p.awaitApplied(0, 3)
	p.awaitApplied(3, 3)
	p.await("claims are granted in failure domain a", func() bool {
		return p.send(0, "/filings", `{"amount":5}`, "filing-h0").status == http.StatusOK
	})
	for _, i := range []int{0, 1, 2, 3} {
		p.checkKeyed(i, "filing-h0")
	}
	p.checkKeyed(3, "filing-h3")
}

// checkServedWhileIsolated checks what host i serves while its failure domain
// is isolated: streams, idempotent requests and filings without a key. Keyed
// filings must be refused.
func (p *partitionedSite) checkServedWhileIsolated(i int) {
	p.t.Helper()
	name := string(hostName(i))
	calls := p.stats(p.engines[0]).Calls
	r := &reader{s: p.site, id: "draft-" + name, prompt: "a scene", tokens: 40}
	if err := r.read(i); err != nil {
		p.t.Error(err)
	}
	r.check()
	if n := p.stats(p.engines[0]).Calls - calls; n != 1 {
		p.t.Errorf("the engine in failure domain a got %d requests from %s, want 1", n, name)
	}
	if f := p.send(i, "/tags", "{}", ""); f.status != http.StatusOK {
		p.t.Errorf("idempotent request at %s: status %d, %s", name, f.status, f.body)
	}
	p.checkRefusedNotRun(i, "filing-"+name)
	body := `{"by":"` + name + `"}`
	if f := p.send(i, "/filings", body, ""); f.status != http.StatusOK {
		p.t.Errorf("filing without a key at %s: status %d, %s", name, f.status, f.body)
	}
	if n := p.executions(faker.ExecutionKey("", http.MethodPost, "/filings", []byte(body))); n != 1 {
		p.t.Errorf("filing without a key at %s ran %d times", name, n)
	}
}

// checkChangeRefused checks that a change at host i of the isolated failure
// domain is refused for lack of a majority and that the refusal names a remedy.
func (p *partitionedSite) checkChangeRefused(i int) {
	_, err := p.change(p.t.Context(), p.operators(i), identifier.ChangeID(fmt.Sprint("alone-", i)), 1)
	var f *refuser.Refusal
	if !errors.As(err, &f) || f.Kind() != refuser.NoMajority {
		p.t.Errorf("a change at h%d: %v, want %s", i, err, refuser.NoMajority)
		return
	}
	if _, remedy, ok := strings.Cut(f.Error(), ": "); !ok || remedy == "" {
		p.t.Errorf("a change at h%d: no remedy in %v", i, f)
	}
}

// checkRefusedNotRun checks that host i refuses a filing with a key, that the
// refusal reports the filing as not run, and that the filing did not run.
func (p *partitionedSite) checkRefusedNotRun(i int, key string) {
	p.t.Helper()
	f := p.send(i, "/filings", `{"amount":5}`, key)
	if f.refusal == nil || f.refusal.Kind() != refuser.NoMajority || !f.refusal.IsNotRun() {
		p.t.Errorf("%s at h%d: status %d, %s", key, i, f.status, f.body)
	}
	if n := p.executions(key); n != 0 {
		p.t.Errorf("%s ran %d times although it was refused", key, n)
	}
}

// TestRestartedWhileCutOff restarts the hosts of an isolated failure domain.
// Its keeper was down when the failure domain received the last revision, so
// that the keeper must get it from the entry host.
func TestRestartedWhileCutOff(t *testing.T) {
	t.Parallel()
	p := newPartitioned(t, 4)
	p.kill("h0")
	p.mustChange(1, "away-1", 1)
	p.awaitApplied(3, 2)
	p.isolateWithoutKeeper(2)
	p.startHost(0)
	p.awaitApplied(0, 2)
	p.kill("h3")
	p.startHost(3)
	p.awaitApplied(3, 2)
	for _, i := range []int{0, 3} {
		p.checkApplied(i, 2)
		r := &reader{s: p.site, id: "restarted-" + string(hostName(i)), prompt: "a scene", tokens: 10}
		if err := r.read(i); err != nil {
			t.Error(err)
		}
		r.check()
	}
	p.setCut('a', false, false)
	p.awaitApplied(0, 3)
	p.awaitApplied(3, 3)
}

// isolateWithoutKeeper cuts failure domain a off while its keeper is down, and
// makes the others accept a change.
func (p *partitionedSite) isolateWithoutKeeper(base identifier.Revision) {
	p.t.Helper()
	p.setCut('a', true, true)
	p.mustChange(1, "cut-1", base)
	p.await("bytes from failure domain a are lost", func() bool {
		outbound, _ := p.lost('a')
		return outbound > 0
	})
}
