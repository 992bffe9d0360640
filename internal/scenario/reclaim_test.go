package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/internal/faker"
	"cyclamenhub.org/refuser"
)

// reconnectAttempts is how often a caller reconnects to each host at most.
const reconnectAttempts = 20

// sendNotice sends a reclaim notice to host i and checks that it is accepted.
func (s *site) sendNotice(i int, notice string) {
	s.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.settings[i].Operators.Listen+"/v1/notices", bytes.NewReader([]byte(notice)))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusAccepted {
		s.t.Fatalf("status %d of a notice", res.StatusCode)
	}
}

// sumMetric returns the sum of a counter over hosts.
func (s *site) sumMetric(name string, hosts ...int) int {
	s.t.Helper()
	n := 0
	for _, i := range hosts {
		v, err := strconv.Atoi(s.metric(i, name))
		if err != nil {
			s.t.Fatalf("%s of h%d: %v", name, i, err)
		}
		n += v
	}
	return n
}

// startStreams starts n streams at host i. When its connection ends early, a
// caller reconnects to the fallback hosts in turn. wait waits for all streams.
func (s *site) startStreams(i, n int, fallbacks ...int) (readers []*reader, wait func()) {
	var wg sync.WaitGroup
	for k := range n {
		r := &reader{s: s, id: fmt.Sprintf("h%d-%d", i, k), prompt: fmt.Sprint("prompt ", k), tokens: 600}
		readers = append(readers, r)
		wg.Go(func() { r.readWithReconnects(i, fallbacks) })
	}
	return readers, wg.Wait
}

// readWithReconnects reads from host i, then reconnects to the fallback hosts
// until the stream is complete or reconnectAttempts for each host are used up.
func (r *reader) readWithReconnects(i int, fallbacks []int) {
	err := r.read(i)
	for n := 0; !r.done && n < reconnectAttempts*len(fallbacks); n++ {
		time.Sleep(awaitInterval)
		err = r.read(fallbacks[n%len(fallbacks)])
	}
	r.err = err
}

// awaitStreaming waits until each reader has received an event.
func (s *site) awaitStreaming(readers []*reader) {
	s.t.Helper()
	s.await("all streams have started", func() bool {
		for _, r := range readers {
			if r.events() == 0 {
				return false
			}
		}
		return true
	})
}

// TestReclaimOfEngine announces the reclaim of an engine and kills the engine
// once its streams have moved. The engine must get no new requests, and no
// stream may be lost.
func TestReclaimOfEngine(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	engines := []string{s.startFake(0, configurer.ModelService, ""), s.startFake(1, configurer.ModelService, "")}
	s.run()
	a, waitA := s.startStreams(0, 8)
	b, waitB := s.startStreams(1, 8)
	s.awaitStreaming(a)
	s.awaitStreaming(b)
	if s.stats(engines[0]).Running == 0 {
		t.Fatal("the engine runs no streams")
	}
	s.sendNotice(0, `{"backendServer":"engine0","in":"2s"}`)
	s.await("the engine's streams have moved", func() bool { return s.stats(engines[0]).Running == 0 })
	calls := s.stats(engines[0]).Calls
	_, waitLate := s.startStreams(1, 4)
	waitLate()
	if n := s.stats(engines[0]).Calls; n != calls {
		t.Errorf("the engine got %d new requests after its reclaim notice", n-calls)
	}
	s.kill("engine0")
	waitA()
	waitB()
	for _, r := range append(a, b...) {
		r.check()
	}
	if s.sumMetric("cyclamen_drain_moves_total", 0, 1) == 0 {
		t.Error("no stream was moved")
	}
}

// TestReclaimOfHost announces the reclaim of a host and kills the host once it
// has handed its streams over. Its callers must be able to resume at other
// hosts.
func TestReclaimOfHost(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	s.startFake(0, configurer.ModelService, "")
	s.startFake(1, configurer.ModelService, "")
	s.run()
	readers, wait := s.startStreams(0, 12, 1, 2)
	s.awaitStreaming(readers)
	s.sendNotice(0, `{"in":"1500ms"}`)
	s.await("all streams are handed over", func() bool { return s.sumMetric("cyclamen_handovers_taken_total", 1, 2) == len(readers) })
	s.kill("h0")
	wait()
	for _, r := range readers {
		r.check()
	}
}

// TestReclaimOfFailureDomain announces the reclaim of the hosts and the engine
// of one failure domain at the same time, and kills them after the handovers.
func TestReclaimOfFailureDomain(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4)
	s.startFake(0, configurer.ModelService, "")
	s.startFake(1, configurer.ModelService, "")
	s.run()
	a, waitA := s.startStreams(0, 8, 1, 3)
	c, waitC := s.startStreams(2, 8, 3, 1)
	s.awaitStreaming(a)
	s.awaitStreaming(c)
	for _, i := range []int{0, 2} {
		s.sendNotice(i, `{"in":"1500ms"}`)
	}
	s.sendNotice(1, `{"backendServer":"engine0","in":"1500ms"}`)
	s.await("all streams are handed over", func() bool {
		return s.sumMetric("cyclamen_handovers_taken_total", 1, 3) == len(a)+len(c)
	})
	for _, name := range []string{"h0", "h2", "engine0"} {
		s.kill(name)
	}
	waitA()
	waitC()
	for _, r := range append(a, c...) {
		r.check()
	}
}

// TestKilledInReclaim kills a host in the middle of its handovers. One peer is
// stopped, so that the host waits for the peer to acknowledge its offers and is
// killed before that. Afterwards every stream must either be complete at one
// owner or be unknown to all hosts. No filing may run twice, and no stream may
// be reported as not run.
func TestKilledInReclaim(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	s.startFake(0, configurer.ModelService, "")
	s.startFake(1, configurer.ModelService, "")
	plain := s.startFake(2, configurer.PlainService, "")
	s.run()
	readers, wait := s.startStreams(0, 60, 1, 2)
	s.awaitStreaming(readers)
	s.inject(plain, faker.Fault{Kind: faker.Late, Delay: 3 * time.Second})
	var filings sync.WaitGroup
	for i := range 6 {
		filings.Go(func() { s.sendUnansweredFiling(fmt.Sprint(i)) })
	}
	s.await("the filings have started", func() bool { return s.injectedCount(plain, faker.Late) == 6 })
	s.signal("h2", syscall.SIGSTOP)
	s.sendNotice(0, `{"in":"300ms"}`)
	s.await("the first streams are handed over", func() bool { return s.sumMetric("cyclamen_handovers_taken_total", 1) > 0 })
	s.kill("h0")
	taken := s.sumMetric("cyclamen_handovers_taken_total", 1)
	if taken >= len(readers) {
		t.Fatal("the host completed its handovers before the kill")
	}
	s.signal("h2", syscall.SIGCONT)
	wait()
	filings.Wait()
	known := 0
	for _, r := range readers {
		if s.isKnown(r.id) {
			known++
			r.check()
		}
	}
	if known < taken {
		t.Errorf("%d streams were taken and %d are known", taken, known)
	}
	s.checkRanOnce(plain)
}

// sendUnansweredFiling sends a filing to a host that is killed before it can
// respond. The outcome is ignored.
func (s *site) sendUnansweredFiling(body string) {
	res, err := s.call(context.Background(), http.MethodPost, s.caller(0)+"/services/cases/filings", body, nil)
	if err == nil {
		res.Body.Close()
	}
}

// signal sends a signal to a process.
func (s *site) signal(name string, sig syscall.Signal) {
	s.t.Helper()
	if err := s.processes[name].cmd.Process.Signal(sig); err != nil {
		s.t.Fatal(err)
	}
}

// isKnown reports whether a request is known to the remaining hosts, according
// to the response of host 1. The test fails if an unknown request is reported as
// not run.
func (s *site) isKnown(id string) bool {
	s.t.Helper()
	res, err := s.call(context.Background(), http.MethodGet, s.caller(1)+"/v1/requests/"+id, "", nil)
	if err != nil {
		s.t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusOK {
		var st dispatcher.Status
		if err := json.NewDecoder(res.Body).Decode(&st); err != nil {
			s.t.Fatal(err)
		}
		return true
	}
	var f refuser.Refusal
	if err := json.NewDecoder(res.Body).Decode(&f); err != nil {
		s.t.Fatal(err)
	}
	if f.IsNotRun() {
		s.t.Errorf("%s is reported as not run: %v", id, &f)
	}
	return false
}

// checkRanOnce checks that a plain service ran no request more than once.
func (s *site) checkRanOnce(address string) {
	s.t.Helper()
	b, err := s.get("http://" + address + "/control/executions")
	if err != nil {
		s.t.Fatal(err)
	}
	ran := make(map[string]int)
	if err := json.Unmarshal([]byte(b), &ran); err != nil {
		s.t.Fatal(err)
	}
	for key, n := range ran {
		if n != 1 {
			s.t.Errorf("%s ran %d times", key, n)
		}
	}
}
