package bed

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Machine is a machine with one process.
type Machine struct {
	Role, Name, IP string

	bed       *Bed
	seeds     []string
	bootstrap bool
	memoryMB  int

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
	// starts counts the starts of the process.
	starts int
}

// address returns the address of one of the machine's ports.
func (m *Machine) address(offset int) string { return fmt.Sprintf("%s:%d", m.IP, m.bed.port+offset) }

// Frontend returns the address for clients.
func (m *Machine) Frontend() string { return m.address(frontend) }

// Operator returns the address for operators.
func (m *Machine) Operator() string { return m.address(operator) }

// MemoryMB returns the memory of the machine.
func (m *Machine) MemoryMB() int { return m.memoryMB }

func (m *Machine) logPath() string { return filepath.Join(m.bed.folder, m.Name+".log") }

// dataFolder returns the folder of the machine's disk, or "" without a disk.
func (m *Machine) dataFolder() string {
	if m.Role != "keeper" {
		return ""
	}
	return filepath.Join(m.bed.folder, m.Name)
}

// settings returns the settings of the process, as the deploy file's template has them.
func (m *Machine) settings() map[string]any {
	listen := map[string]any{"controlPlane": m.address(operator)}
	class, serves, disk := "core", "control", 128
	if m.Role == "entry" {
		listen = map[string]any{"frontend": m.address(frontend), "readiness": m.address(readiness)}
		class, serves, disk = "edge", "edge", 0
	}
	return map[string]any{
		"nodeName": m.Name, "role": m.Role, "machineClass": class, "serves": []string{serves}, "ip": m.IP,
		"zone": "be-central-a", "region": "be-central", "zones": map[string]string{"be-central-a": "be-central", "be-central-b": "be-central"},
		"internalPorts": []int{m.bed.port, m.bed.port + peerPorts - 1}, "seedNodes": m.seeds, "bootstrap": m.bootstrap,
		"countsAsLoss": m.Role == "keeper", "discovery": "cloud_api", "entry": "vip", "heartbeatMs": 1200, "configMode": "highest",
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader", "rollout"},
		"dataDir":   m.dataFolder(), "listen": listen,
		"limits":         map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": m.memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": disk},
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 3000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "outerMs": 5000, "revokeStrict": true,
			"revokeMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 56, "quotaWindowS": 8,
			"quotaOverrun": 0.1, "quotaSlack": 140000, "fencingRequired": false, "leaseMs": 3000, "thawMs": 300,
			"reportWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10, "exposureShare": 0.1, "exposureSlack": 50,
			"rollbackMs": 5000, "recoveryS": 12, "deliveryDeadlineMs": 120, "reuseWindowS": 5.9,
		},
		"cloudApi": map[string]any{
			"address": m.bed.api, "ratePerS": 44.0, "duties": []string{"usage_report", "autoscale"}, "lagMs": 800, "dutyPerS": 50.0,
		},
	}
}

// Start starts the process as the deploy file does. Only the first start founds the
// system.
func (m *Machine) Start() error {
	if folder := m.dataFolder(); folder != "" {
		if err := os.MkdirAll(folder, 0o700); err != nil {
			return err
		}
	}
	s := m.settings()
	m.bootstrap = false
	text, err := json.Marshal(map[string]any{"metricsPort": 9464, "platform": s})
	if err != nil {
		return err
	}
	path := filepath.Join(m.bed.folder, m.Name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(m.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.bed.opts.Binary, m.Role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CYCLAMENHUB_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended = cmd, ended
	m.starts++
	m.mu.Unlock()
	m.bed.Record.Add("%s: started", m.Name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		m.bed.Record.Add("%s: the process ended: %v", m.Name, err)
		close(ended)
	}()
	return nil
}

// Signal sends a signal to the process.
func (m *Machine) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		m.bed.Record.Add("%s: signal %v", m.Name, s)
		// It fails only if the process has ended.
		_ = m.cmd.Process.Signal(s)
	}
}

// Kill kills the process and waits for its end.
func (m *Machine) Kill() {
	if m.Ended() {
		return
	}
	m.Signal(syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	<-ended
}

// grace is graceS of the settings.
const grace = 8 * time.Second

// Terminate stops the process as the platform does: with SIGTERM, and with SIGKILL after
// graceS.
func (m *Machine) Terminate() error {
	m.Signal(syscall.SIGTERM)
	err := Await(grace, m.Name+" has not ended within its grace period", m.Ended)
	m.Kill()
	return err
}

// LoseDisk removes what is on the disk of a machine whose process has ended.
func (m *Machine) LoseDisk() error {
	m.bed.Record.Add("%s: the disk is lost", m.Name)
	return os.RemoveAll(m.dataFolder())
}

// Ended reports whether no process runs.
func (m *Machine) Ended() bool {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	default:
		return false
	}
}

// PID returns the id of the process.
func (m *Machine) PID() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

// IsReady reports whether the readiness address answers 200.
func (m *Machine) IsReady() bool {
	res, err := m.bed.client.Get("http://" + m.address(readiness) + "/cyclamenhub/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// ResidentMB returns the resident memory of the process, or 0 if it has ended.
func (m *Machine) ResidentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.PID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return kb >> 10
		}
	}
	return 0
}
