package rig

import (
	"bufio"
	"os/exec"
	"strings"
	"syscall"
	"time"
)

// WorkerProgram is the program of a worker in a process of its own.
const WorkerProgram = "target/review-worker2"

// Process is a worker in a process of its own.
type Process struct {
	ID, Address string

	cmd  *exec.Cmd
	done chan struct{}
}

// StartWorker starts a worker process and waits until it listens.
func (r *Rig) StartWorker(id, address string, args ...string) (*Process, error) {
	cmd := exec.Command(WorkerProgram, append([]string{"-id", id, "-address", address}, args...)...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{ID: id, Address: address, cmd: cmd, done: make(chan struct{})}
	r.workers = append(r.workers, p)
	go func() {
		defer close(p.done)
		for lines := bufio.NewScanner(out); lines.Scan(); {
			r.Record.Printf("%s", strings.TrimSpace(lines.Text()))
		}
		_ = cmd.Wait()
	}()
	for range 100 {
		c, err := Connect(address)
		if err == nil {
			c.Close()
			return p, nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	p.Kill()
	return nil, ErrNoMachine
}

// SetLeaving makes every later answer of the worker say that it leaves.
func (p *Process) SetLeaving() { _ = p.cmd.Process.Signal(syscall.SIGUSR1) }

// Kill ends the process and waits for it.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}
