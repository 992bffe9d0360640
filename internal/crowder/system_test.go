//go:build crowd

package crowder

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cyclamenhub.org/platform"
	"cyclamenhub.org/platform/standin"
)

const (
	// memoryMB and descriptors are what a machine has. A process at rest takes about
	// a quarter of the memory.
	memoryMB    = 128
	descriptors = 600
	// firstPort is the first port of each process.
	firstPort = 7000
	// largeBytes is the size of a large answer.
	largeBytes = 4 << 20
	key        = "foodbank-key"
	// startTimeout bounds how long the processes take until they serve, and
	// pollInterval is the time between two looks.
	startTimeout = time.Minute
	pollInterval = 20 * time.Millisecond
)

// limits are those of the document. No test waits for the two on time.
var limits = standin.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 10 * time.Second, IdleTimeout: 15 * time.Second}

// binary is the path of the daemon, built without the race detector, which takes memory
// of its own.
var binary string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "crowder")
	if err != nil {
		log.Fatal(err)
	}
	binary = filepath.Join(folder, "cyclamend")
	if out, err := exec.Command("go", "build", "-o", binary, "cyclamenhub.org/cmd/cyclamend").CombinedOutput(); err != nil {
		log.Fatalf("build: %v\n%s", err, out)
	}
	code := m.Run()
	if err := os.RemoveAll(folder); err != nil {
		log.Print(err)
	}
	os.Exit(code)
}

// system is a keeper, an entry host and the stand-ins that they need.
type system struct {
	t             *testing.T
	base          string // the first three bytes of the addresses
	keeper, entry *process
}

// newSystem starts a system and waits until it answers an ordinary request.
func newSystem(t *testing.T) *system {
	t.Helper()
	n := os.Getpid()
	s := &system{t: t, base: fmt.Sprintf("127.%d.%d", 30+n/250%200, n%250)}
	backends := s.serve(".251", &standin.Backends{LargeBytes: largeBytes})
	cloud := s.serve(".250", &standin.Cloud{Servers: []string{backends}})
	s.keeper = s.start("keeper", 1, cloud)
	s.entry = s.start("entry", 2, cloud)
	s.await("the document is not stored", s.storeDocument)
	s.await("no ordinary request is answered before the crowd", func() error {
		_, err := s.callOnce()
		return err
	})
	return s
}

// serve serves h at an address that ends in the given byte, until the end of the test.
func (s *system) serve(suffix string, h http.Handler) string {
	s.t.Helper()
	ln, err := net.Listen("tcp", s.base+suffix+":0")
	if err != nil {
		s.t.Fatal(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: startTimeout}
	s.t.Cleanup(func() { _ = srv.Close() })
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String()
}

// start starts the process of a role on a machine of its own.
func (s *system) start(role string, machine int, cloud string) *process {
	s.t.Helper()
	folder := s.t.TempDir()
	m := standin.Machine{
		IP: fmt.Sprintf("%s.%d", s.base, machine), Port: firstPort, Founding: role == "keeper", Folder: folder, Cloud: cloud,
		Seeds: []string{fmt.Sprintf("%s.1:%d", s.base, firstPort+standin.OperatorPort)}, MemoryMB: memoryMB, Descriptors: descriptors,
	}
	text, err := m.Settings()
	if err != nil {
		s.t.Fatal(err)
	}
	settings := filepath.Join(folder, "settings.json")
	if err := os.WriteFile(settings, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	logFile, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		s.t.Fatal(err)
	}
	cmd := exec.Command(binary, role)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	p := &process{name: role, machine: m, cmd: cmd, ended: make(chan struct{}), log: logFile}
	go p.wait()
	go p.watch()
	s.t.Cleanup(func() { p.stop(s.t) })
	return p
}

// await waits until f returns no error.
func (s *system) await(what string, f func() error) {
	s.t.Helper()
	var err error
	for until := time.Now().Add(startTimeout); time.Now().Before(until); time.Sleep(pollInterval) {
		if err = f(); err == nil {
			return
		}
	}
	s.t.Fatalf("%s: %v", what, err)
}

// storeDocument stores the document at the keeper.
func (s *system) storeDocument() error {
	body := standin.DocumentWithin(1, `["`+key+`"]`, limits)
	req, err := http.NewRequest(http.MethodPut, "http://"+s.keeper.address(standin.OperatorPort)+standin.DocumentPath, strings.NewReader(body))
	if err != nil {
		return err
	}
	status, _, answer, err := send(req)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d: %s", status, answer)
	}
	return err
}

// send sends a request on a new connection and returns the status, the header and the
// body of the answer.
func send(req *http.Request) (int, http.Header, string, error) {
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callTimeout}
	res, err := c.Do(req)
	if err != nil {
		return 0, nil, "", err
	}
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, res.Header, string(b), errors.Join(err, res.Body.Close())
}
