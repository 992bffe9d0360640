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

// stopPatience is how long a process may take to stop: longer than the grace of
// its settings, after which the platform would kill it.
const stopPatience = 6 * time.Second

// process is a machine with the one process that runs there.
type process struct {
	name    string
	role    string
	binary  string
	folder  string
	machine standin.Machine

	mu sync.Mutex
	// run is the present run, nil while the process is down, and isBusy tells that
	// a fault has it in hand.
	run    *exec.Cmd
	ended  chan struct{}
	isBusy bool
	// expected tells that the present run is meant to end.
	expected bool
	// died lists the runs that ended by themselves.
	died []string
}

// start starts a run. Only the first one of a keeper founds the system.
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
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.run, p.ended, p.expected = cmd, make(chan struct{}), false
	go p.wait(cmd, p.ended, log)
	return nil
}

// wait waits for the end of a run.
func (p *process) wait(cmd *exec.Cmd, ended chan struct{}, log *os.File) {
	err := cmd.Wait()
	_ = log.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.expected {
		p.died = append(p.died, fmt.Sprintf("%s ended by itself: %v", p.name, err))
	}
	p.run = nil
	close(ended)
}

// harm plays a fault of the process and reports whether it could: one fault has a
// process in hand at a time.
func (p *process) harm(f Fault) (bool, error) {
	p.mu.Lock()
	if p.isBusy || p.run == nil {
		p.mu.Unlock()
		return false, nil
	}
	p.isBusy = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.isBusy = false
	}()
	switch f.Kind {
	case Pause:
		p.signal(syscall.SIGSTOP)
		time.Sleep(f.For)
		p.signal(syscall.SIGCONT)
		return true, nil
	case Stop:
		p.end(syscall.SIGTERM)
	default:
		p.end(syscall.SIGKILL)
	}
	time.Sleep(f.For)
	return true, p.start()
}

// signal sends a signal to the present run.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.run != nil {
		// It fails where the run has just ended, which wait notes.
		_ = p.run.Process.Signal(s)
	}
}

// end ends the present run by a signal, and by a kill where that takes too long.
func (p *process) end(s os.Signal) {
	p.mu.Lock()
	run, ended := p.run, p.ended
	p.expected = true
	p.mu.Unlock()
	if run == nil {
		return
	}
	p.signal(s)
	select {
	case <-ended:
	case <-time.After(stopPatience):
		p.signal(os.Kill)
		<-ended
	}
}

// address returns one of the machine's addresses.
func (p *process) address(port int) string {
	return fmt.Sprintf("%s:%d", p.machine.IP, p.machine.Port+port)
}
