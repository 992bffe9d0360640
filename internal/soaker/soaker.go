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

// Options say what is played. Binary and Folder are required.
type Options struct {
	Seed uint64
	// Binary is the path of the daemon.
	Binary string
	// Folder takes settings, data and logs of the run.
	Folder string
	// Length is for how long faults begin; 0 means 10 s.
	Length time.Duration
	// Keepers and Entries are numbers of processes; 0 means 3 each.
	Keepers, Entries int
	// Progress, where it is set, is told of each fault that was played.
	Progress func(Fault)
}

const (
	// servers is how many backend servers there are.
	servers = 3
	// work is how long a call takes there.
	work = 20 * time.Millisecond
	// recovery is how long everything may take to serve again after the last
	// fault: longer than any lease, silence and start together.
	recovery = 30 * time.Second
	// look is the time between two looks whether it does.
	look = 50 * time.Millisecond
)

// soak is one run.
type soak struct {
	opts      Options
	cloud     *standin.Cloud
	backends  *standin.Backends
	links     []*link
	keepers   []*process
	entries   []*process
	operators *http.Client
	ledger    ledger
	revision  identifier.Revision
	closers   []func()
}

// Run plays one seed. The error tells that the run could not be played; promises
// that were broken stand in the report.
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
		opts: opts, cloud: &standin.Cloud{}, backends: &standin.Backends{Work: work},
		operators: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	defer s.close()
	if err := s.build(); err != nil {
		return nil, err
	}
	s.revision = 1
	if !s.await(ctx, func() bool { return s.store(s.keepers[0], s.revision) }) || !s.await(ctx, s.serves) {
		return nil, errors.Join(ctx.Err(), fmt.Errorf("the processes do not serve before the first fault: see the logs in %s", opts.Folder))
	}
	played, err := s.play(ctx)
	if err != nil {
		return nil, err
	}
	s.check(ctx)
	return s.report(played), ctx.Err()
}

// build starts the platform's stand-in, the links and the processes.
func (s *soak) build() error {
	base := s.block()
	api, err := s.serve(base+".250", s.cloud)
	if err != nil {
		return err
	}
	backend, err := s.serve(base+".251", s.backends)
	if err != nil {
		return err
	}
	for range servers {
		l, err := newLink(base+".252:0", backend)
		if err != nil {
			return err
		}
		s.links = append(s.links, l)
		s.closers = append(s.closers, l.close)
		s.cloud.Servers = append(s.cloud.Servers, l.ln.Addr().String())
	}
	const port = 7000
	var seeds []string
	for i := range s.opts.Keepers {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", base, i+1, port+standin.OperatorPort))
	}
	for i := range s.opts.Keepers + s.opts.Entries {
		p := &process{binary: s.opts.Binary, folder: s.opts.Folder, role: "keeper", name: fmt.Sprint("keeper", i)}
		if i >= s.opts.Keepers {
			p.role, p.name = "entry", fmt.Sprint("entry", i-s.opts.Keepers)
		}
		p.machine = standin.Machine{
			IP: fmt.Sprintf("%s.%d", base, i+1), Port: port, Seeds: seeds, Founding: i < s.opts.Keepers,
			Folder: filepath.Join(s.opts.Folder, p.name), Cloud: api,
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

// block returns the first three parts of the run's loopback addresses, which
// differ from run to run and from process to process.
func (s *soak) block() string {
	n := uint64(os.Getpid())*31 + s.opts.Seed
	return fmt.Sprintf("127.%d.%d", 30+n/250%200, n%250)
}

// serve serves h at an address and returns it with its port.
func (s *soak) serve(ip string, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: operatorPatience}
	s.closers = append(s.closers, func() { _ = srv.Close() })
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

// processes returns all processes.
func (s *soak) processes() []*process {
	return append(append([]*process{}, s.keepers...), s.entries...)
}

// play plays the plan while callers and the operator are at work, and returns the
// faults that were played.
func (s *soak) play(ctx context.Context) ([]Fault, error) {
	working, rest := context.WithCancel(ctx)
	var workers, faults sync.WaitGroup
	for n := range callers {
		workers.Go(func() { s.caller(working, n) })
	}
	workers.Go(func() { s.operator(working) })

	var (
		mu     sync.Mutex
		played []Fault
		errs   []error
	)
	began, processes := time.Now(), s.processes()
	for _, f := range Plan(s.opts.Seed, s.opts.Length, len(processes), len(s.links)) {
		select {
		case <-time.After(time.Until(began.Add(f.At))):
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		faults.Go(func() {
			ok, err := s.harm(processes, f)
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
			if ok {
				played = append(played, f)
			}
		})
		if s.opts.Progress != nil {
			s.opts.Progress(f)
		}
	}
	faults.Wait()
	rest()
	workers.Wait()
	return played, errors.Join(errs...)
}

// harm plays one fault to its end and reports whether its target could take it.
func (s *soak) harm(processes []*process, f Fault) (bool, error) {
	if f.Kind.hitsProcess() {
		return processes[f.Target].harm(f)
	}
	heal := s.links[f.Target].harm(f.Kind)
	time.Sleep(f.For)
	heal()
	return true, nil
}

// serves reports whether every entry host serves a call of each kind and every
// keeper reads the document.
func (s *soak) serves() bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for i, e := range s.entries {
		for _, path := range []string{filePath, lookPath, draftPath} {
			id := identifier.RequestID(fmt.Sprintf("probe-%d-%d%s", time.Now().UnixNano(), i, path))
			if outcome, _ := s.call(client, e, id, path); outcome != fmt.Sprint(http.StatusOK) {
				return false
			}
		}
	}
	for _, k := range s.keepers {
		if !s.read(k) {
			return false
		}
	}
	return true
}

// await waits for as long as recovery until a condition holds.
func (s *soak) await(ctx context.Context, ok func() bool) bool {
	for until := time.Now().Add(recovery); time.Now().Before(until) && ctx.Err() == nil; time.Sleep(look) {
		if ok() {
			return true
		}
	}
	return false
}

// check checks the promises after the last fault.
func (s *soak) check(ctx context.Context) {
	if !s.await(ctx, s.serves) {
		s.ledger.breaks("not everything serves %v after the last fault", recovery)
	}
	s.ledger.checkRuns(s.backends.Runs())
	for _, w := range s.cloud.Changed() {
		s.ledger.breaks("window %s is reported with two counts", w)
	}
	for _, p := range s.processes() {
		p.mu.Lock()
		for _, why := range p.died {
			s.ledger.breaks("%s", why)
		}
		p.mu.Unlock()
	}
}

// close ends everything that the run started.
func (s *soak) close() {
	var all sync.WaitGroup
	for _, p := range s.processes() {
		all.Go(func() { p.end(os.Kill) })
	}
	all.Wait()
	for _, c := range s.closers {
		c()
	}
}
