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

// comeBacks is how often a caller tries each host again.
const comeBacks = 20

// notify sends a reclaim notice to host i.
func (s *site) notify(i int, notice string) {
	s.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.settings[i].Operators.Listen+"/v1/notices", bytes.NewReader([]byte(notice)))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+siteToken)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	res.Body.Close()
	if res.StatusCode != http.StatusAccepted {
		s.t.Fatalf("status %d of a notice", res.StatusCode)
	}
}

// total adds up a counter over hosts.
func (s *site) total(name string, hosts ...int) int {
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

// streams starts n streams at host i; each comes back to the hosts of again, in
// turn, when its connection ends early. wait waits for all.
func (s *site) streams(i, n int, again ...int) (readers []*reader, wait func()) {
	var wg sync.WaitGroup
	for k := range n {
		r := &reader{s: s, id: fmt.Sprintf("h%d-%d", i, k), prompt: fmt.Sprint("prompt ", k), tokens: 600}
		readers = append(readers, r)
		wg.Go(func() { r.readAnywhere(i, again) })
	}
	return readers, wg.Wait
}

// readAnywhere reads until the whole text is there or the request is lost.
func (r *reader) readAnywhere(i int, again []int) {
	err := r.read(i)
	for k := 0; !r.done && k < comeBacks*len(again); k++ {
		time.Sleep(awaitInterval)
		err = r.read(again[k%len(again)])
	}
	r.err = err
}

// underWay waits until each reader has events.
func (s *site) underWay(readers []*reader) {
	s.t.Helper()
	s.await("all streams are under way", func() bool {
		for _, r := range readers {
			if r.events() == 0 {
				return false
			}
		}
		return true
	})
}

// TestReclaimOfEngine announces that an engine leaves and kills it at the end
// of its notice.
func TestReclaimOfEngine(t *testing.T) {
	t.Parallel()
	s := newSite(t, 2)
	engines := []string{s.fake(0, configurer.ModelService, ""), s.fake(1, configurer.ModelService, "")}
	s.run()
	a, waitA := s.streams(0, 8)
	b, waitB := s.streams(1, 8)
	s.underWay(a)
	s.underWay(b)
	if s.stats(engines[0]).Running == 0 {
		t.Fatal("the engine has no streams to lose")
	}
	s.notify(0, `{"backendServer":"engine0","in":"2s"}`)
	s.await("the engine's streams have moved", func() bool { return s.stats(engines[0]).Running == 0 })
	calls := s.stats(engines[0]).Calls
	_, waitLate := s.streams(1, 4)
	waitLate()
	if n := s.stats(engines[0]).Calls; n != calls {
		t.Errorf("the leaving engine got %d new calls", n-calls)
	}
	s.kill("engine0")
	waitA()
	waitB()
	for _, r := range append(a, b...) {
		r.check()
	}
	if s.total("cyclamen_drain_moves_total", 0, 1) == 0 {
		t.Error("no stream was moved")
	}
}

// TestReclaimOfHost announces that a host leaves and kills it at the end of its
// notice; its callers come back elsewhere.
func TestReclaimOfHost(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	s.fake(0, configurer.ModelService, "")
	s.fake(1, configurer.ModelService, "")
	s.run()
	readers, wait := s.streams(0, 12, 1, 2)
	s.underWay(readers)
	s.notify(0, `{"in":"1500ms"}`)
	s.await("all streams are handed over", func() bool { return s.total("cyclamen_handovers_taken_total", 1, 2) == len(readers) })
	s.kill("h0")
	wait()
	for _, r := range readers {
		r.check()
	}
}

// TestReclaimOfFailureDomain announces that the hosts and the engine of one
// failure domain leave at once, and kills them.
func TestReclaimOfFailureDomain(t *testing.T) {
	t.Parallel()
	s := newSite(t, 4)
	s.fake(0, configurer.ModelService, "")
	s.fake(1, configurer.ModelService, "")
	s.run()
	a, waitA := s.streams(0, 8, 1, 3)
	c, waitC := s.streams(2, 8, 3, 1)
	s.underWay(a)
	s.underWay(c)
	for _, i := range []int{0, 2} {
		s.notify(i, `{"in":"1500ms"}`)
	}
	s.notify(1, `{"backendServer":"engine0","in":"1500ms"}`)
	s.await("all streams are handed over", func() bool {
		return s.total("cyclamen_handovers_taken_total", 1, 3) == len(a)+len(c)
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

// TestKilledInReclaim kills a host in the middle of its handovers: one peer is
// held up, so that offers wait for it, and their acknowledgements never come.
// Every stream is then whole at one owner, or nobody claims to know it; no
// filing ran twice, and none is told of as not run.
func TestKilledInReclaim(t *testing.T) {
	t.Parallel()
	s := newSite(t, 3)
	s.fake(0, configurer.ModelService, "")
	s.fake(1, configurer.ModelService, "")
	plain := s.fake(2, configurer.PlainService, "")
	s.run()
	readers, wait := s.streams(0, 60, 1, 2)
	s.underWay(readers)
	s.inject(plain, faker.Fault{Kind: faker.Late, Delay: 3 * time.Second})
	var filings sync.WaitGroup
	for i := range 6 {
		filings.Go(func() { s.fileInVain(fmt.Sprint(i)) })
	}
	s.await("the filings are under way", func() bool { return s.hits(plain, faker.Late) == 6 })
	s.signal("h2", syscall.SIGSTOP)
	s.notify(0, `{"in":"300ms"}`)
	s.await("the first streams are handed over", func() bool { return s.total("cyclamen_handovers_taken_total", 1) > 0 })
	s.kill("h0")
	taken := s.total("cyclamen_handovers_taken_total", 1)
	if taken >= len(readers) {
		t.Fatal("the host did not die in the middle of its handovers")
	}
	s.signal("h2", syscall.SIGCONT)
	wait()
	filings.Wait()
	known := 0
	for _, r := range readers {
		if s.known(r.id) {
			known++
			r.check()
		}
	}
	if known < taken {
		t.Errorf("%d streams were taken and %d are known", taken, known)
	}
	s.checkOnce(plain)
}

// fileInVain sends a filing to a host that dies before it can answer.
func (s *site) fileInVain(body string) {
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

// known reports whether any host that is left knows a request. One that nobody
// knows must not be told of as not run.
func (s *site) known(id string) bool {
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
		s.t.Errorf("%s is told of as not run: %v", id, &f)
	}
	return false
}

// checkOnce checks that a plain service ran nothing twice.
func (s *site) checkOnce(address string) {
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
