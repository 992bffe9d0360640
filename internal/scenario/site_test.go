package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/faker"
)

const (
	customerKey   = "foodbank-key"
	operatorToken = "operator-token"
)

// site is a test system: entry hosts and fake backend servers, each a separate
// process.
type site struct {
	t         *testing.T
	folder    string
	ips       []string
	fleet     configurer.Fleet
	settings  []configurer.Settings
	processes map[string]*process
}

// newSite returns a site whose hosts h0, h1, … are in failure domains a and b in
// turn. Fake backend servers must be added before run.
func newSite(t *testing.T, hosts int) *site {
	t.Helper()
	s := &site{t: t, folder: t.TempDir(), processes: make(map[string]*process)}
	for _, v := range addressVars() {
		_, ip, _ := strings.Cut(v, "=")
		s.ips = append(s.ips, ip)
	}
	s.fleet.Defaults = configurer.Defaults{
		Services: []configurer.Service{
			{Name: "drafting", Kind: configurer.ModelService, Version: "v1", Deadline: configurer.Duration(awaitTimeout), FirstTokenTarget: configurer.Duration(500 * time.Millisecond), BetweenTokensTarget: configurer.Duration(100 * time.Millisecond)},
			{Name: "cases", Kind: configurer.PlainService, Version: "v1", Deadline: configurer.Duration(awaitTimeout), FirstTokenTarget: configurer.Duration(500 * time.Millisecond), NonIdempotentRoutes: []identifier.Route{"POST /filings"}},
		},
		Customers: []configurer.Customer{{Name: "foodbank", KeyHashes: []configurer.KeyHash{configurer.HashKey(customerKey)}}},
		Limits:    configurer.Limits{BodyBytes: 1 << 20, QueuedRequests: 1000, RetryShare: 0.1, ClaimHorizon: configurer.Duration(time.Hour)},
	}
	var all []configurer.HostAddress
	for i := range hosts {
		all = append(all, configurer.HostAddress{Name: hostName(i), FailureDomain: domainOf(i), Address: s.ips[i] + ":7000"})
	}
	for i := range hosts {
		s.settings = append(s.settings, s.settingsOf(i, all))
	}
	return s
}

func hostName(i int) identifier.Host { return identifier.Host(fmt.Sprint("h", i)) }

func domainOf(i int) identifier.FailureDomain { return identifier.FailureDomain("ab"[i%2 : i%2+1]) }

func (s *site) settingsOf(i int, all []configurer.HostAddress) configurer.Settings {
	cfg := configurer.Settings{
		Host: hostName(i), FailureDomain: domainOf(i), Hosts: all, Keepers: []identifier.Host{hostName(0)},
		Callers: configurer.CallerSettings{Listen: s.ips[i] + ":8080"},
		Operators: configurer.OperatorSettings{Listen: s.ips[i] + ":8081", Tokens: []configurer.OperatorToken{
			{Operator: "ana", TokenHash: configurer.HashKey(operatorToken)},
		}},
	}
	if i == 0 {
		cfg.DataFolder, cfg.InitialFleet = filepath.Join(s.folder, "data"), filepath.Join(s.folder, "fleet.json")
	}
	return cfg
}

// startFake starts a fake backend server, adds it to the fleet document and
// returns its address. If proxy is not empty, hosts connect to that address
// instead.
func (s *site) startFake(i int, kind configurer.ServiceKind, proxy string) string {
	s.t.Helper()
	service, name := identifier.Service("drafting"), fmt.Sprint("engine", i)
	if kind == configurer.PlainService {
		service, name = "cases", fmt.Sprint("cases", i)
	}
	address := fmt.Sprintf("%s:%d", s.ips[len(s.ips)-1], 9000+i)
	if proxy == "" {
		proxy = address
	}
	s.fleet.Defaults.BackendServers = append(s.fleet.Defaults.BackendServers, configurer.BackendServer{
		Name: identifier.BackendServer(name), Service: service, Version: "v1", FailureDomain: domainOf(i), Address: proxy, Concurrency: 64,
	})
	s.start(name, "fakeserver", "--listen", address, "--kind", string(kind), "--name", name, "--step", "5ms")
	s.await(name+" serves", func() bool {
		_, err := s.get("http://" + address + "/control/faults")
		return err == nil
	})
	return address
}

// run writes the fleet document, starts the hosts and waits until they are
// ready.
func (s *site) run() {
	s.t.Helper()
	s.write("fleet.json", s.fleet.Encode())
	for i, cfg := range s.settings {
		b, err := json.Marshal(cfg)
		if err != nil {
			s.t.Fatal(err)
		}
		name := string(cfg.Host)
		s.write(name+".json", b)
		s.start(name, "cyclamend", "run", "--settings", filepath.Join(s.folder, name+".json"))
		s.await(name+" is ready", func() bool {
			s.checkRunning(name)
			_, err := s.get(s.caller(i) + "/readyz")
			return err == nil
		})
	}
}

// caller returns the base URL of host i for callers.
func (s *site) caller(i int) string { return "http://" + s.settings[i].Callers.Listen }

func (s *site) write(name string, b []byte) {
	s.t.Helper()
	if err := os.WriteFile(filepath.Join(s.folder, name), b, 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// start starts a process that is killed when the test ends. Its output is
// logged if the test failed.
func (s *site) start(name, program string, args ...string) {
	s.t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(binFolder, program), args...), done: make(chan struct{})}
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = s.folder, p, p
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	s.processes[name] = p
	s.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if s.t.Failed() {
			s.t.Logf("[%s]\n%s", name, p.output())
		}
	})
}

// checkRunning fails the test if a process has exited.
func (s *site) checkRunning(name string) {
	s.t.Helper()
	select {
	case <-s.processes[name].done:
		s.t.Fatalf("%s has exited: %v", name, s.processes[name].err)
	default:
	}
}

// kill kills a process with SIGKILL and waits until it has exited.
func (s *site) kill(name string) {
	s.t.Helper()
	p := s.processes[name]
	if err := p.cmd.Process.Kill(); err != nil {
		s.t.Fatal(err)
	}
	<-p.done
}

// terminate sends SIGTERM to a process, waits until it has exited and checks its
// exit code.
func (s *site) terminate(name string) {
	s.t.Helper()
	p := s.processes[name]
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		s.t.Fatal(err)
	}
	select {
	case <-p.done:
	case <-time.After(awaitTimeout):
		s.t.Fatalf("%s did not exit within the time limit", name)
	}
	if p.err != nil {
		s.t.Errorf("%s exited with error %v", name, p.err)
	}
}

// await waits until condition returns true. The test fails after awaitTimeout.
func (s *site) await(what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(awaitInterval) {
		if condition() {
			return
		}
	}
	s.t.Fatalf("timed out waiting for: %s", what)
}

// get sends a GET request and returns the body. A status other than 200 is an
// error.
func (s *site) get(url string) (string, error) {
	res, err := http.Get(url)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", res.StatusCode, b)
	}
	return string(b), err
}

// inject injects a fault into the fake at address.
func (s *site) inject(address string, x faker.Fault) {
	s.t.Helper()
	b, err := json.Marshal(x)
	if err != nil {
		s.t.Fatal(err)
	}
	res, err := http.Post("http://"+address+"/control/faults", "application/json", bytes.NewReader(b))
	if err != nil {
		s.t.Fatal(err)
	}
	res.Body.Close()
}

// injectedCount returns how often a fault of kind k took effect at the fake at
// address.
func (s *site) injectedCount(address string, k faker.FaultKind) int {
	s.t.Helper()
	b, err := s.get("http://" + address + "/control/faults")
	if err != nil {
		s.t.Fatal(err)
	}
	counts := make(map[faker.FaultKind]int)
	if err := json.Unmarshal([]byte(b), &counts); err != nil {
		s.t.Fatal(err)
	}
	return counts[k]
}

// stats returns the counters of the fake engine at address.
func (s *site) stats(address string) faker.EngineStats {
	s.t.Helper()
	var st faker.EngineStats
	b, err := s.get("http://" + address + "/control/stats")
	if err == nil {
		err = json.Unmarshal([]byte(b), &st)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	return st
}

// metric returns the value of a metric of host i as text, empty if it is
// missing.
func (s *site) metric(i int, name string) string {
	s.t.Helper()
	b, err := s.get(s.caller(i) + "/metrics")
	if err != nil {
		s.t.Fatal(err)
	}
	for line := range strings.Lines(b) {
		if v, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(v)
		}
	}
	return ""
}

// call sends a request with the API key of the customer.
func (s *site) call(ctx context.Context, method, url, body string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if header != nil {
		req.Header = header.Clone()
	}
	req.Header.Set("Authorization", "Bearer "+customerKey)
	return http.DefaultClient.Do(req)
}

// reader is a caller that reads one stream, possibly over several connections.
type reader struct {
	s      *site
	id     string
	prompt string
	tokens int

	mu   sync.Mutex
	text strings.Builder
	last int
	done bool
	// err is the error of the last connection.
	err error
}

// events returns the number of events received so far.
func (r *reader) events() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}

// read connects to host i and reads until the connection ends. It resumes after
// the last event received.
func (r *reader) read(i int) error {
	h := http.Header{"Cyclamen-Request-Id": {r.id}}
	if n := r.events(); n > 0 {
		h.Set("Last-Event-ID", fmt.Sprint(n))
	}
	body, err := json.Marshal(map[string]any{"model": "drafting", "prompt": r.prompt, "max_tokens": r.tokens, "stream": true})
	if err != nil {
		return err
	}
	res, err := r.s.call(context.Background(), http.MethodPost, r.s.caller(i)+"/v1/completions", string(body), h)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(res.Body)
		return fmt.Errorf("status %d: %s", res.StatusCode, b)
	}
	return r.readEvents(res.Body)
}

// readEvents reads events until the stream ends. It skips events out of
// sequence.
func (r *reader) readEvents(body io.Reader) error {
	scan := newEventScanner(body)
	for scan.next() {
		r.mu.Lock()
		if scan.data == "[DONE]" {
			r.done = true
		} else if scan.id == r.last+1 {
			r.last++
			r.text.WriteString(scan.text())
		}
		r.mu.Unlock()
	}
	return scan.err
}

// check checks that the stream ended normally and that its text is complete and
// exact.
func (r *reader) check() {
	r.s.t.Helper()
	want := faker.Text(r.prompt, r.tokens)
	if got := r.text.String(); got != want || !r.done || r.last != r.tokens {
		r.s.t.Errorf("%s: %d of %d events, done %v, %d of %d bytes, last error %v", r.id, r.last, r.tokens, r.done, len(got), len(want), r.err)
	}
}
