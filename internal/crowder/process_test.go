//go:build crowd

package crowder

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cyclamenhub.org/platform/standin"
)

// logTail is how much of the log of a process is shown if its test fails.
const logTail = 2 << 10

// process is one process of the system.
type process struct {
	name    string
	machine standin.Machine
	cmd     *exec.Cmd
	log     *os.File
	ended   chan struct{} // closed when the process has ended
	exit    error         // may be read then

	mu              sync.Mutex
	mostDescriptors int
}

// wait waits for the end of the process.
func (p *process) wait() {
	p.exit = p.cmd.Wait()
	close(p.ended)
}

// watch records the largest number of descriptors until the process ends.
func (p *process) watch() {
	for p.lives() {
		p.countDescriptors()
		time.Sleep(pollInterval)
	}
}

// countDescriptors records the present number of descriptors.
func (p *process) countDescriptors() {
	entries, err := os.ReadDir(p.proc("fd"))
	if err != nil {
		return // The process has ended, which checkBounds reports.
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mostDescriptors = max(p.mostDescriptors, len(entries))
}

// lives reports whether the process has not ended.
func (p *process) lives() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// address returns an address of the process.
func (p *process) address(port int) string {
	return fmt.Sprintf("%s:%d", p.machine.IP, p.machine.Port+port)
}

// proc returns the path of a file that tells of the process.
func (p *process) proc(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), name)
}

// checkBounds checks that the process lives and has stayed within the limits of its
// machine.
func (p *process) checkBounds(t *testing.T) {
	t.Helper()
	status, err := os.ReadFile(p.proc("status"))
	if !p.lives() {
		t.Errorf("%s has ended: %v", p.name, p.exit)
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	p.countDescriptors()
	p.mu.Lock()
	defer p.mu.Unlock()
	most, now := kilobytes(t, string(status), "VmHWM"), kilobytes(t, string(status), "VmRSS")
	t.Logf("%s: %d MB at most, %d MB now, %d descriptors at most", p.name, most>>10, now>>10, p.mostDescriptors)
	if most > memoryMB<<10 || now > memoryMB<<10 {
		t.Errorf("%s takes %d MB at most and %d MB now; its machine has %d MB", p.name, most>>10, now>>10, memoryMB)
	}
	if p.mostDescriptors > descriptors {
		t.Errorf("%s has %d descriptors open; its machine has %d", p.name, p.mostDescriptors, descriptors)
	}
}

// kilobytes returns a figure of the status of a process.
func kilobytes(t *testing.T, status, name string) int {
	t.Helper()
	_, rest, _ := strings.Cut(status, name+":")
	line, _, _ := strings.Cut(rest, "kB")
	n, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// stop ends the process and shows the end of its log if the test has failed.
func (p *process) stop(t *testing.T) {
	if p.lives() {
		if err := p.cmd.Process.Kill(); err != nil {
			t.Error(err)
		}
		<-p.ended
	}
	if err := p.log.Close(); err != nil {
		t.Error(err)
	}
	if !t.Failed() {
		return
	}
	b, err := os.ReadFile(p.log.Name())
	if err != nil {
		t.Error(err)
		return
	}
	t.Logf("log of %s:\n%s", p.name, b[max(len(b)-logTail, 0):])
}
