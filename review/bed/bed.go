package bed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of the scripts.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitFailed = 2
)

// Offsets of the ports of a process from its first port.
const (
	peerPorts = 8
	operator  = peerPorts + iota
	frontend
	readiness
	portCount
)

const (
	// addressTries is how many address ranges are tried until one is free.
	addressTries = 50
	// cloudHost and serverHost are the last bytes of the addresses of the platform and
	// of the first backend server.
	cloudHost  = 250
	serverHost = 100
	// readyTimeout bounds the time until all entry hosts are ready.
	readyTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
	// coreMemoryMB and edgeMemoryMB are memoryMb of the machines.
	coreMemoryMB = 280
	edgeMemoryMB = 284
)

// Options configure a Bed.
type Options struct {
	// Binary is the path of the daemon.
	Binary string
	// Record is the path of the record.
	Record string
	// Owners makes workers find out which machine opened each connection.
	Owners bool
}

// Bed is a small deployment on loopback addresses.
type Bed struct {
	Cloud   *Cloud
	Record  *Record
	Keepers []*Machine
	Entries []*Machine

	opts   Options
	folder string
	prefix string
	port   int
	api    string
	client *http.Client
	closed []func()
	close  sync.Once
}

// New returns a Bed whose processes are not started.
func New(opts Options) (*Bed, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r, err := newRecord(opts.Record)
	if err != nil {
		return nil, err
	}
	b := &Bed{
		Record: r, opts: opts, folder: folder,
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	if err := b.chooseAddresses(); err != nil {
		return nil, err
	}
	b.Cloud = &Cloud{bed: b, record: r}
	b.api, err = b.Serve(cloudHost, b.Cloud)
	go b.closeEarly()
	return b, err
}

// maxRun is the longest time that a run may take.
const maxRun = 118 * time.Second

// closeEarly ends the run when the program is to stop or has run for too long.
func (b *Bed) closeEarly() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-stop:
	case <-time.After(maxRun):
	}
	b.Record.Say("the run is ended early: the case could not run")
	b.Close()
	os.Exit(ExitFailed)
}

// chooseAddresses chooses a range of addresses and of ports that are free.
func (b *Bed) chooseAddresses() error {
	for range addressTries {
		b.prefix = fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), rand.IntN(250))
		b.port = 20000 + rand.IntN(10000)
		if b.isFree() {
			return nil
		}
	}
	return errors.New("no free addresses were found")
}

// isFree reports whether the chosen ports are free.
func (b *Bed) isFree() bool {
	for i := range portCount {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", b.prefix, b.port+i))
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// Address returns the address with the given last byte.
func (b *Bed) Address(host int) string { return fmt.Sprintf("%s.%d", b.prefix, host) }

// Serve serves h at a free port of the address with the given last byte, until Close.
func (b *Bed) Serve(host int, h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", b.Address(host)+":0")
	if err != nil {
		return "", err
	}
	s := &http.Server{
		Handler: h, ReadHeaderTimeout: readyTimeout,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	b.OnClose(func() { _ = s.Close() })
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().String(), nil
}

// OnClose calls f when the bed is closed.
func (b *Bed) OnClose(f func()) { b.closed = append(b.closed, f) }

// Start starts the processes. The first three keepers are the seeds.
func (b *Bed) Start(keepers, entries int) error {
	var seeds []string
	for i := range min(keepers, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", b.Address(1+i), b.port+operator))
	}
	for i := range keepers {
		m := &Machine{bed: b, Role: "keeper", Name: fmt.Sprintf("core-a-%d", i+1), memoryMB: coreMemoryMB}
		b.Keepers = append(b.Keepers, m)
	}
	for i := range entries {
		m := &Machine{bed: b, Role: "entry", Name: fmt.Sprintf("edge-a-%d", i+1), memoryMB: edgeMemoryMB}
		b.Entries = append(b.Entries, m)
	}
	for i, m := range b.machines() {
		m.IP, m.seeds, m.bootstrap = b.Address(1+i), seeds, true
		if err := m.Start(); err != nil {
			return err
		}
	}
	return nil
}

// machines returns all machines, those of the core first.
func (b *Bed) machines() []*Machine { return append(append([]*Machine{}, b.Keepers...), b.Entries...) }

// AwaitReady waits until every entry host is ready.
func (b *Bed) AwaitReady() error {
	return Await(readyTimeout, "the entry hosts are not ready", func() bool {
		for _, m := range b.Entries {
			if !m.IsReady() {
				return false
			}
		}
		return true
	})
}

// Await waits until ok returns true.
func Await(timeout time.Duration, problem string, ok func() bool) error {
	for until := time.Now().Add(timeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(until) {
			return errors.New(problem)
		}
	}
	return nil
}

// StoreConfig sends a config to the keepers in turn until one acknowledges it.
func (b *Bed) StoreConfig(c Config) error {
	body := c.encode()
	i := 0
	err := Await(readyTimeout, "no keeper acknowledged the config", func() bool {
		m := b.Keepers[i%len(b.Keepers)]
		i++
		req, err := http.NewRequest(http.MethodPut, "http://"+m.address(operator)+"/cyclamenhub/config", strings.NewReader(body))
		if err != nil {
			return false
		}
		res, err := b.client.Do(req)
		if err != nil {
			return false
		}
		_ = res.Body.Close()
		return res.StatusCode == http.StatusOK
	})
	b.Record.Add("operator: config %d acknowledged: %v", c.Version, err == nil)
	return err
}

// KeepLogs copies the logs of the processes beside the record if the environment asks
// for it.
func (b *Bed) KeepLogs() {
	target := os.Getenv("REVIEW_LOGS")
	if target == "" {
		return
	}
	_ = os.MkdirAll(target, 0o755)
	for _, m := range b.machines() {
		if text, err := os.ReadFile(m.logPath()); err == nil {
			_ = os.WriteFile(filepath.Join(target, m.Name+".log"), text, 0o600)
		}
	}
}

// Close ends all processes and servers and removes the temporary folder.
func (b *Bed) Close() { b.close.Do(b.closeAll) }

// closeAll is Close, once.
func (b *Bed) closeAll() {
	for _, m := range b.machines() {
		m.Kill()
	}
	for _, f := range b.closed {
		f()
	}
	b.KeepLogs()
	_ = b.Record.close()
	_ = os.RemoveAll(b.folder)
}
