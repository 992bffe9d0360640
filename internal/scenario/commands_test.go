package scenario

import (
	"bytes"
	"context"
	"flag"
	"io"
	"net/http"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	// awaitTimeout bounds every wait for a condition.
	awaitTimeout = 60 * time.Second
	// awaitInterval is the time between two checks of a condition.
	awaitInterval = 50 * time.Millisecond
)

// process is one process that a script or a test started. It collects the
// output.
type process struct {
	cmd   *exec.Cmd
	done  chan struct{}
	err   error
	out   bytes.Buffer
	outMu sync.Mutex
}

// Write appends to the output.
func (p *process) Write(b []byte) (int, error) {
	p.outMu.Lock()
	defer p.outMu.Unlock()
	return p.out.Write(b)
}

// output returns the output so far.
func (p *process) output() string {
	p.outMu.Lock()
	defer p.outMu.Unlock()
	return p.out.String()
}

// processesKey is the key of a script's processes in testscript.Env.Values.
type processesKey struct{}

// processes holds the processes that one script started, by name.
type processes struct {
	mu     sync.Mutex
	byName map[string]*process
}

func newProcesses() *processes { return &processes{byName: make(map[string]*process)} }

func (ps *processes) get(ts *testscript.TestScript, name string) *process {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	p, ok := ps.byName[name]
	if !ok {
		ts.Fatalf("no process %q: start it first", name)
	}
	return p
}

// processesOf returns the processes of a script.
func processesOf(ts *testscript.TestScript) *processes {
	return ts.Value(processesKey{}).(*processes)
}

// expand replaces ${VAR} in files by the environment variable VAR.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		b, err := os.ReadFile(ts.MkAbs(name))
		ts.Check(err)
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(os.Expand(string(b), ts.Getenv)), 0o600))
	}
}

// deadline sets DEADLINE to the current time plus a duration, in RFC 3339.
func deadline(ts *testscript.TestScript, _ bool, args []string) {
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	ts.Setenv("DEADLINE", time.Now().Add(d).UTC().Format(time.RFC3339))
}

// start starts a process in the background. The process is killed when the
// script ends.
func start(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM ARGS...")
	}
	name := args[0]
	p := &process{cmd: command(context.Background(), ts, args[1:]), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	ts.Check(p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	ps := processesOf(ts)
	ps.mu.Lock()
	ps.byName[name] = p
	ps.mu.Unlock()
	ts.Defer(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		ts.Logf("[%s]\n%s", name, p.output())
	})
}

// command returns a command that runs in the script's folder with its token and
// address. It prefers the built programs over those on the PATH.
func command(ctx context.Context, ts *testscript.TestScript, args []string) *exec.Cmd {
	program := args[0]
	if b := binFolder + "/" + program; fileExists(b) {
		program = b
	}
	cmd := exec.CommandContext(ctx, program, args[1:]...)
	cmd.Dir = ts.MkAbs(".")
	cmd.Env = append(os.Environ(), "CYCLAMEN_TOKEN="+ts.Getenv("CYCLAMEN_TOKEN"), "CYCLAMEN_ADDRESS="+ts.Getenv("CYCLAMEN_ADDRESS"))
	return cmd
}

func fileExists(name string) bool {
	_, err := os.Stat(name)
	return err == nil
}

var signals = map[string]syscall.Signal{
	"TERM": syscall.SIGTERM,
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
}

// signal sends a signal to a process of the script. After KILL it waits for the
// process to exit.
func signal(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: signal SIGNAL NAME")
	}
	s, ok := signals[args[0]]
	if !ok {
		ts.Fatalf("unknown signal %q", args[0])
	}
	p := processesOf(ts).get(ts, args[1])
	ts.Check(p.cmd.Process.Signal(s))
	if s == syscall.SIGKILL {
		<-p.done
	}
}

// ended waits until a process has exited and checks that it exited with code 0,
// or with "!" that it exited with an error.
func ended(ts *testscript.TestScript, neg bool, args []string) {
	p := processesOf(ts).get(ts, args[0])
	select {
	case <-p.done:
	case <-time.After(awaitTimeout):
		ts.Fatalf("%s did not exit within the time limit", args[0])
	}
	if (p.err != nil) != neg {
		ts.Fatalf("%s exited with error %v", args[0], p.err)
	}
}

// await repeats a command until its output matches a regular expression.
func await(ts *testscript.TestScript, _ bool, args []string) {
	re, err := regexp.Compile(args[0])
	ts.Check(err)
	var out []byte
	for deadline := time.Now().Add(awaitTimeout); time.Now().Before(deadline); time.Sleep(awaitInterval) {
		ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
		out, _ = command(ctx, ts, args[1:]).CombinedOutput()
		cancel()
		if re.Match(out) {
			return
		}
	}
	ts.Fatalf("no output matched %s within the time limit; last output:\n%s", args[0], out)
}

// headers collects the values of the -h flags.
type headers http.Header

func (h headers) String() string { return "" }

func (h headers) Set(s string) error {
	name, value, _ := strings.Cut(s, ":")
	http.Header(h).Set(name, strings.TrimSpace(value))
	return nil
}

// httpCall sends an HTTP request, checks the status of the response and prints
// the body.
func httpCall(ts *testscript.TestScript, _ bool, args []string) {
	fs := flag.NewFlagSet("http", flag.ContinueOnError)
	status := fs.Int("s", http.StatusOK, "")
	hs := headers{}
	fs.Var(hs, "h", "")
	ts.Check(fs.Parse(args))
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, fs.Arg(0), fs.Arg(1), strings.NewReader(fs.Arg(2)))
	ts.Check(err)
	r.Header = http.Header(hs)
	resp, err := http.DefaultClient.Do(r)
	ts.Check(err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	ts.Check(err)
	_, _ = ts.Stdout().Write(b)
	if resp.StatusCode != *status {
		ts.Fatalf("status %d, want %d: %s", resp.StatusCode, *status, b)
	}
}
