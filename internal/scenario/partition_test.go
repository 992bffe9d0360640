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

// filing is an answer of the plain service, or a refusal.
type filing struct {
	status  int
	body    string
	refusal *refuser.Refusal
}

// send sends a call to the plain service through host i, under a key or none.
func (p *partitioned) send(i int, path, body, key string) filing {
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

// executions returns how often a call ran, at all plain services.
func (p *partitioned) executions(key string) int {
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

// isolate cuts failure domain a off both ways, lets the others accept changes
// from base on and waits until the hosts of a have noticed.
func (p *partitioned) isolate(base identifier.Revision) {
	p.t.Helper()
	p.setCut('a', true, true)
	p.mustChange(1, "cut-1", base)
	p.mustChange(2, "cut-2", base+1)
	p.await("h0 leads no more and has left silent sessions", func() bool {
		return p.leader(0) < 0 && p.total("cyclamen_messenger_sessions_closed_silent_total", 0) > 0
	})
	if leaving, coming := p.lost('a'); leaving == 0 || coming == 0 {
		p.t.Fatalf("%d bytes from a and %d to it were lost", leaving, coming)
	}
}

// checkKeyed checks that a keyed filing at host i is answered and has run once.
func (p *partitioned) checkKeyed(i int, key string) {
	p.t.Helper()
	if f := p.send(i, "/filings", `{"amount":5}`, key); f.status != http.StatusOK {
		p.t.Errorf("%s at h%d: status %d, %s", key, i, f.status, f.body)
	}
	if n := p.executions(key); n != 1 {
		p.t.Errorf("%s ran %d times", key, n)
	}
}

// TestDomainCutOff cuts one failure domain of three off for longer than every
// timeout between the hosts.
//
// The backend servers of the other domains stay reachable from it: a fleet
// document has one address for each, so that no link stands in front of them.
func TestDomainCutOff(t *testing.T) {
	t.Parallel()
	p := newPartitioned(t, 4)
	p.isolate(1)
	p.awaitInForce(1, 3)
	p.awaitInForce(2, 3)
	p.checkKeyed(1, "filing-b")
	var wg sync.WaitGroup
	for _, i := range []int{0, 3} {
		wg.Go(func() { p.checkChangeRefused(i) })
	}
	for _, i := range []int{0, 3} {
		p.checkServedAlone(i)
	}
	wg.Wait()
	p.checkInForce(0, 1)
	p.checkInForce(3, 1)
	p.setCut('a', false, false)
	p.awaitInForce(0, 3)
	p.awaitInForce(3, 3)
	p.await("claims are granted in a", func() bool {
		return p.send(0, "/filings", `{"amount":5}`, "filing-h0").status == http.StatusOK
	})
	for _, i := range []int{0, 1, 2, 3} {
		p.checkKeyed(i, "filing-h0")
	}
	p.checkKeyed(3, "filing-h3")
}

// checkServedAlone checks what host i of the cut-off domain still does.
func (p *partitioned) checkServedAlone(i int) {
	p.t.Helper()
	name := string(hostName(i))
	calls := p.stats(p.engines[0]).Calls
	r := &reader{s: p.site, id: "draft-" + name, prompt: "a scene", tokens: 40}
	if err := r.read(i); err != nil {
		p.t.Error(err)
	}
	r.check()
	if n := p.stats(p.engines[0]).Calls - calls; n != 1 {
		p.t.Errorf("the engine of a got %d calls of %s", n, name)
	}
	if f := p.send(i, "/tags", "{}", ""); f.status != http.StatusOK {
		p.t.Errorf("idempotent call at %s: status %d, %s", name, f.status, f.body)
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

// checkChangeRefused checks that an operator at host i of the cut-off domain
// is told why a change is refused, and what to do.
func (p *partitioned) checkChangeRefused(i int) {
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

// checkRefusedNotRun checks that a keyed filing is refused at host i and that
// the refusal tells the truth.
func (p *partitioned) checkRefusedNotRun(i int, key string) {
	p.t.Helper()
	f := p.send(i, "/filings", `{"amount":5}`, key)
	if f.refusal == nil || f.refusal.Kind() != refuser.NoMajority || !f.refusal.IsNotRun() {
		p.t.Errorf("%s at h%d: status %d, %s", key, i, f.status, f.body)
	}
	if n := p.executions(key); n != 0 {
		p.t.Errorf("%s ran %d times, and was refused", key, n)
	}
}

// TestRestartedWhileCutOff restarts the hosts of a cut-off domain. Its keeper
// was away when the last revision came to the domain.
func TestRestartedWhileCutOff(t *testing.T) {
	t.Parallel()
	p := newPartitioned(t, 4)
	p.kill("h0")
	p.mustChange(1, "away-1", 1)
	p.awaitInForce(3, 2)
	p.isolateWithout(2)
	p.startHost(0)
	p.awaitInForce(0, 2)
	p.kill("h3")
	p.startHost(3)
	p.awaitInForce(3, 2)
	for _, i := range []int{0, 3} {
		p.checkInForce(i, 2)
		r := &reader{s: p.site, id: "restarted-" + string(hostName(i)), prompt: "a scene", tokens: 10}
		if err := r.read(i); err != nil {
			t.Error(err)
		}
		r.check()
	}
	p.setCut('a', false, false)
	p.awaitInForce(0, 3)
	p.awaitInForce(3, 3)
}

// isolateWithout cuts failure domain a off while its keeper is dead, and lets
// the others accept a change.
func (p *partitioned) isolateWithout(base identifier.Revision) {
	p.t.Helper()
	p.setCut('a', true, true)
	p.mustChange(1, "cut-1", base)
	p.await("bytes of a are lost", func() bool {
		leaving, _ := p.lost('a')
		return leaving > 0
	})
}
