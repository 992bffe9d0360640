package soaker

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cyclamenhub.org/platform"
	"cyclamenhub.org/platform/standin"
)

// stopTimeout is how long a process may take to stop before it is killed. It is
// longer than the grace period in its settings, after which the platform would
// kill it.
const stopTimeout = 6 * time.Second

// process is a simulated machine and the one process that runs on it.
type process struct {
	name    string
	role    string
	binary  string
	folder  string
	machine standin.Machine
	// gate is the link of an entry host to all backend servers.
	gate *link

	mu sync.Mutex
	// run is the current run, nil while the process is down. isFaulted is set
	// while a fault is in progress.
	run       *exec.Cmd
	ended     chan struct{}
	isFaulted bool
	// endExpected is set if a fault or the end of the test terminates the
	// current run.
	endExpected bool
	// unexpectedExits lists the runs that ended without a request to do so.
	unexpectedExits []string
}

// start starts a run. Only the first run of a keeper bootstraps the system.
func (p *process) start() error {
	b, err := p.machine.Settings()
	if err != nil {
		return err
	}
	p.machine.Founding = false
	settings := filepath.Join(p.folder, p.name+".json")
	if err := os.WriteFile(settings, b, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.binary, p.role)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+settings)
	if p.gate != nil {
		cmd.Env = append(cmd.Env, "SOAK_GATE="+p.gate.listener.Addr().String())
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.run, p.ended, p.endExpected = cmd, make(chan struct{}), false
	go p.wait(cmd, p.ended, log)
	return nil
}

// wait waits for the end of a run and records an unexpected exit.
func (p *process) wait(cmd *exec.Cmd, ended chan struct{}, log *os.File) {
	err := cmd.Wait()
	_ = log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.endExpected {
		p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s ended by itself: %v", p.name, err))
	}
	p.run = nil
	close(ended)
}

// inject injects f and waits until it is over. It reports false and does nothing
// if another fault is in progress or the process is down, since a process has at
// most one fault at a time. The error is that of a failed restart.
func (p *process) inject(f Fault) (bool, error) {
	p.mu.Lock()
	if p.isFaulted || p.run == nil {
		p.mu.Unlock()
		return false, nil
	}
	p.isFaulted = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.isFaulted = false
	}()
	switch f.Kind {
	case Pause:
		p.signal(syscall.SIGSTOP)
		time.Sleep(f.Duration)
		p.signal(syscall.SIGCONT)
		return true, nil
	case Stop:
		p.terminate(syscall.SIGTERM)
	default:
		p.terminate(syscall.SIGKILL)
	}
	time.Sleep(f.Duration)
	return true, p.start()
}

// signal sends a signal to the current run.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run != nil {
		// Signal fails if the run has just ended, which wait records.
		_ = p.run.Process.Signal(s)
	}
}

// terminate sends a signal that ends the current run, and kills the run if it
// has not ended within stopTimeout.
func (p *process) terminate(s os.Signal) {
	p.mu.Lock()
	run, ended := p.run, p.ended
	p.endExpected = true
	p.mu.Unlock()
	if run == nil {
		return
	}
	p.signal(s)
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		p.signal(os.Kill)
		<-ended
	}
}

// address returns the machine's address with the given port offset.
func (p *process) address(port int) string {
	return fmt.Sprintf("%s:%d", p.machine.IP, p.machine.Port+port)
}
