package soaker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform/standin"
)

// Options configure a run. Binary and Folder are required.
type Options struct {
	Seed uint64
	// Binary is the path of the daemon.
	Binary string
	// Entry is the path of the program gatedentry, which the entry hosts run; with the
	// daemon in its place, cuts have no effect.
	Entry string
	// Folder receives the settings, data and logs of the run.
	Folder string
	// Length is the period in which faults start; 0 means 10 s.
	Length time.Duration
	// Keepers and Entries are the numbers of keepers and entry hosts; 0 means
	// 3 each.
	Keepers, Entries int
	// Progress, if set, is called for each planned fault when it is due.
	Progress func(Fault)
}

const (
	// backendCount is the number of backend servers behind links, crashingCount that
	// of those that end on fatal calls, and crashDowntime how long they do.
	backendCount  = 3
	crashingCount = 4
	crashDowntime = 500 * time.Millisecond
	// serviceTime is how long a request takes at a backend server.
	serviceTime = 20 * time.Millisecond
	// retrySlack is few enough retries that a silent server can use them up.
	retrySlack = 3
	// recoveryTimeout is how long the system may take to serve again after the
	// last fault. It is longer than any lease, silence time-out and start
	// together.
	recoveryTimeout = 30 * time.Second
	// pollInterval is the time between two checks of whether the system serves.
	pollInterval = 50 * time.Millisecond
)

// soak is the state of one run.
type soak struct {
	opts      Options
	cloud     *standin.Cloud
	backends  *standin.Backends
	links     []*link
	servers   []*standin.BrittleServer // those behind links first
	keepers   []*process
	entries   []*process
	operators *http.Client
	ledger    ledger
	revision  identifier.Revision
	closers   []func()
}

// Run runs the plan of one seed. It returns an error if the run could not be
// carried out; broken promises are listed in the report.
func Run(ctx context.Context, opts Options) (*Report, error) {
	if opts.Length == 0 {
		opts.Length = 10 * time.Second
	}
	if opts.Keepers == 0 {
		opts.Keepers = 3
	}
	if opts.Entries == 0 {
		opts.Entries = 3
	}
	s := &soak{
		opts: opts, cloud: &standin.Cloud{}, backends: &standin.Backends{Delay: serviceTime},
		operators: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	defer s.close()
	if err := s.setUp(); err != nil {
		return nil, err
	}
	s.revision = 1
	if !s.waitUntil(ctx, func() bool { return s.storeDocument(s.keepers[0], s.revision) }) || !s.waitUntil(ctx, s.isServing) {
		return nil, errors.Join(ctx.Err(), fmt.Errorf("the processes do not serve before the first fault: see the logs in %s", opts.Folder))
	}
	injected, err := s.runPlan(ctx)
	if err != nil {
		return nil, err
	}
	s.check(ctx)
	return s.report(injected), ctx.Err()
}

// setUp starts the stand-in for the platform, the links and the processes.
func (s *soak) setUp() error {
	base := s.addressPrefix()
	api, err := s.serve(base+".250", s.cloud)
	if err != nil {
		return err
	}
	if err := s.startServers(base); err != nil {
		return err
	}
	const port = 7000
	var seeds []string
	for i := range s.opts.Keepers {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", base, i+1, port+standin.OperatorPort))
	}
	for i := range s.opts.Keepers + s.opts.Entries {
		p := &process{binary: s.opts.Binary, folder: s.opts.Folder, role: "keeper", name: fmt.Sprint("keeper", i)}
		if i >= s.opts.Keepers {
			p.binary, p.role, p.name = s.opts.Entry, "entry", fmt.Sprint("entry", i-s.opts.Keepers)
		}
		p.machine = standin.Machine{
			IP: fmt.Sprintf("%s.%d", base, i+1), Port: port, Seeds: seeds, Founding: i < s.opts.Keepers,
			Folder: filepath.Join(s.opts.Folder, p.name), Cloud: api, RetrySlack: retrySlack,
		}
		if p.role == "entry" {
			if p.gate, err = newLink(base+".253:0", ""); err != nil {
				return err
			}
			s.closers = append(s.closers, p.gate.close)
			p.machine.Domain = string(rune('a' + len(s.entries)%domainCount))
		}
		if err := errors.Join(os.MkdirAll(p.machine.Folder, 0o700), p.start()); err != nil {
			return err
		}
		if p.role == "keeper" {
			s.keepers = append(s.keepers, p)
		} else {
			s.entries = append(s.entries, p)
		}
	}
	return nil
}

// addressPrefix returns the first three bytes of the run's loopback addresses.
// They depend on the seed and the process id, so that concurrent runs do not
// share addresses.
func (s *soak) addressPrefix() string {
	n := uint64(os.Getpid())*31 + s.opts.Seed
	return fmt.Sprintf("127.%d.%d", 30+n/250%200, n%250)
}

// serve serves h at ip on a free port and returns the address.
func (s *soak) serve(ip string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: operatorTimeout}
	s.closers = append(s.closers, func() { _ = srv.Close() })
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// processes returns all processes, keepers first.
func (s *soak) processes() []*process {
	return append(append([]*process{}, s.keepers...), s.entries...)
}

// runPlan injects the faults of the plan while the callers and the operator send
// requests. It returns the faults that were injected.
func (s *soak) runPlan(ctx context.Context) ([]Fault, error) {
	workCtx, stopWorkers := context.WithCancel(ctx)
	var workers, faults sync.WaitGroup
	for n := range callerCount + resumerCount {
		workers.Go(func() { s.runCaller(workCtx, n) })
	}
	workers.Go(func() { s.runOperator(workCtx) })
	workers.Go(func() { s.runFatalCaller(workCtx) })

	var (
		mu       sync.Mutex
		injected []Fault
		errs     []error
	)
	start, processes := time.Now(), s.processes()
	for _, f := range Plan(s.opts.Seed, s.opts.Length, len(processes), len(s.links), len(s.entries)) {
		select {
		case <-time.After(time.Until(start.Add(f.Start))):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		faults.Go(func() {
			from := time.Now()
			ok, err := s.injectFault(workCtx, processes, f)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
			if ok {
				injected = append(injected, f)
				s.ledger.recordSpan(span{f, from, time.Now()})
			}
		})
		if s.opts.Progress != nil {
			s.opts.Progress(f)
		}
	}
	faults.Wait()
	stopWorkers()
	workers.Wait()
	return injected, errors.Join(errs...)
}

// injectFault injects one fault and waits until it is over. It reports false if
// the fault could not be injected, because the target process was down or had
// another fault, or since a silence would replace the fault of a link.
func (s *soak) injectFault(ctx context.Context, processes []*process, f Fault) (bool, error) {
	if f.Kind == Brittle {
		s.injectBrittle(ctx, f)
		return true, nil
	}
	if f.isCut() {
		for _, h := range f.Hosts {
			defer s.entries[h].gate.inject(f.Kind)()
		}
		time.Sleep(f.Duration)
		return true, nil
	}
	if f.Kind.targetsProcess() {
		return processes[f.Target].inject(f)
	}
	l := s.links[f.Target]
	if current, _ := l.currentFault(); f.Kind == Silence && current != "" {
		return false, nil
	}
	restore := l.inject(f.Kind)
	time.Sleep(f.Duration)
	restore()
	return true, nil
}

// isServing reports whether every entry host serves a request of each kind and
// every keeper returns the document.
func (s *soak) isServing() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i, entry := range s.entries {
		for _, path := range []string{nonIdempotentPath, idempotentPath, streamPath} {
			id := identifier.RequestID(fmt.Sprintf("probe-%d-%d%s", time.Now().UnixNano(), i, path))
			if outcome, _ := s.call(client, entry, id, path); outcome != fmt.Sprint(http.StatusOK) {
				return false
			}
		}
	}
	for _, k := range s.keepers {
		if !s.readDocument(k) {
			return false
		}
	}
	return true
}

// waitUntil waits until ok returns true. It reports false after recoveryTimeout
// or when ctx ends.
func (s *soak) waitUntil(ctx context.Context, ok func() bool) bool {
	for deadline := time.Now().Add(recoveryTimeout); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(pollInterval) {
		if ok() {
			return true
		}
	}
	return false
}

// check waits until the system serves again after the last fault, then checks
// the promises and records violations.
func (s *soak) check(ctx context.Context) {
	if !s.waitUntil(ctx, s.isServing) {
		s.ledger.addViolation("not everything serves %v after the last fault", recoveryTimeout)
	}
	if !s.waitUntil(ctx, s.isIsolated) {
		s.ledger.addViolation("calls that end backend servers are not refused")
	}
	s.checkCuts()
	s.checkSilences()
	s.checkBrittle()
	s.ledger.checkRuns(s.backends.Runs())
	for _, w := range s.cloud.Conflicts() {
		s.ledger.addViolation("window %s is reported with two counts", w)
	}
	for _, p := range s.processes() {
		p.mu.Lock()
		for _, exit := range p.unexpectedExits {
			s.ledger.addViolation("%s", exit)
		}
		p.mu.Unlock()
	}
}

// close stops everything that the run started.
func (s *soak) close() {
	var all sync.WaitGroup
	for _, p := range s.processes() {
		all.Go(func() { p.terminate(os.Kill) })
	}
	all.Wait()
	for _, c := range s.closers {
		c()
	}
}
