package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Program is the program of the deploy file, relative to the root of the repository.
const Program = "target/cyclamend"

// Ports of each machine. All machines of a Rig use the same ones.
const (
	callersPort   = 8221
	readinessPort = 8224
	operatorsPort = 8229
	firstPeerPort = 7600
	lastPeerPort  = 7615
	metricsPort   = 9464
)

// Zones are the failure domains of the deployment.
var Zones = []string{"be-central-a", "be-central-b", "be-central-c", "be-central-d"}

// Rig is a deployment.
type Rig struct {
	Platform *Platform
	Record   *Record

	folder  string
	network string // the first three bytes of the machines' addresses
	nextIP  int
	keepers []*Machine
	entries []*Machine
	workers []*Process
}

// New returns a Rig without machines that writes its record to the named file.
func New(record string) (*Rig, error) {
	rec, err := NewRecord(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	network, err := freeNetwork()
	if err != nil {
		return nil, errors.Join(err, os.RemoveAll(folder))
	}
	r := &Rig{Record: rec, folder: folder, network: network, nextIP: 10}
	if r.Platform, err = NewPlatform(r.IP()); err != nil {
		return nil, errors.Join(err, os.RemoveAll(folder))
	}
	go r.closeOnSignal()
	return r, nil
}

// closeOnSignal ends everything when this process is told to end.
func (r *Rig) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	r.Close()
	os.Exit(couldNotRun)
}

// couldNotRun is the exit code of a case that could not run.
const couldNotRun = 2

// freeNetwork returns the first three bytes of loopback addresses that nobody uses.
func freeNetwork() (string, error) {
	for range 100 {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if isFree(network) {
			return network, nil
		}
	}
	return "", errors.New("no loopback addresses are free")
}

// isFree reports whether the ports of machines are free at some addresses of a network.
func isFree(network string) bool {
	for _, port := range []int{callersPort, readinessPort, operatorsPort, firstPeerPort, metricsPort} {
		for host := 10; host < 20; host++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, host, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// IP returns an address that no machine of the Rig has.
func (r *Rig) IP() string {
	ip := fmt.Sprintf("%s.%d", r.network, r.nextIP)
	r.nextIP++
	return ip
}

// Machine is a machine with one process.
type Machine struct {
	IP, Role, Zone string
	// PeerPort replaces the first port for peers, if it is not 0.
	PeerPort int

	rig      *Rig
	index    int
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	started  bool
	expected bool // the process is expected to end
}

// AddKeepers adds machines of the core, one in each zone.
func (r *Rig) AddKeepers(n int) {
	for i := range n {
		r.keepers = append(r.keepers, &Machine{IP: r.IP(), Role: "keeper", Zone: Zones[i%len(Zones)], rig: r, index: i})
	}
}

// AddEntry adds an entry host in a zone.
func (r *Rig) AddEntry(zone string) *Machine {
	m := &Machine{IP: r.IP(), Role: "entry", Zone: zone, rig: r, index: len(r.entries)}
	r.entries = append(r.entries, m)
	return m
}

// Keepers returns the machines of the core.
func (r *Rig) Keepers() []*Machine { return r.keepers }

// Callers returns the address for callers.
func (m *Machine) Callers() string { return fmt.Sprintf("%s:%d", m.IP, callersPort) }

// Readiness returns the address of the readiness probe.
func (m *Machine) Readiness() string { return fmt.Sprintf("%s:%d", m.IP, readinessPort) }

// Operators returns the address for operators.
func (m *Machine) Operators() string { return fmt.Sprintf("%s:%d", m.IP, operatorsPort) }

// settings returns the settings file of the machine, in the form of the project's template.
func (m *Machine) settings() ([]byte, error) {
	zones := make(map[string]string)
	for _, z := range Zones {
		zones[z] = "be-central"
	}
	var seeds []string
	for _, k := range m.rig.keepers[:min(3, len(m.rig.keepers))] {
		seeds = append(seeds, k.Operators())
	}
	listen := map[string]string{"frontend": m.Callers(), "readiness": m.Readiness()}
	class, dataDir, serves := "edge", "", "edge"
	limits := map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}
	if m.Role == "keeper" {
		listen = map[string]string{"controlPlane": m.Operators()}
		class, dataDir, serves = "core", filepath.Join(m.rig.folder, "disk-"+m.IP), "control"
		limits["cpuShare"], limits["memoryMb"], limits["maxFds"], limits["diskMb"] = 0.48, 280, 4096, 128
	}
	peer := firstPeerPort
	if m.PeerPort != 0 {
		peer = m.PeerPort
	}
	return json.Marshal(map[string]any{"metricsPort": metricsPort, "platform": map[string]any{
		"nodeName": fmt.Sprintf("%s-%s-%d", class, m.Zone, m.index+1), "role": m.Role, "machineClass": class, "serves": []string{serves},
		"ip": m.IP, "zone": m.Zone, "region": "be-central", "internalPorts": []int{peer, peer + lastPeerPort - firstPeerPort}, "seedNodes": seeds,
		"bootstrap": !m.started, "countsAsLoss": class == "core", "discovery": "cloud_api", "entry": "vip", "heartbeatMs": 1200,
		"contracts":  []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader", "rollout"},
		"configMode": "highest", "zones": zones, "listen": listen, "limits": limits, "dataDir": dataDir,
		"faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 3000,
			"graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "downgradeSlackMs": 250, "outerMs": 5000, "revokeStrict": true, "revokeMs": 5000,
			"retryBudgetRatio": 0.2, "retryWindowS": 10, "retrySlack": 56, "quotaWindowS": 8, "quotaOverrun": 0.1, "quotaSlack": 140000,
			"fencingRequired": false, "leaseMs": 3000, "thawMs": 300, "reportWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10,
			"exposureShare": 0.1, "exposureSlack": 50, "rollbackMs": 5000, "recoveryS": 12, "deliveryDeadlineMs": 120, "reuseWindowS": 5.9},
		"cloudApi": map[string]any{"address": m.rig.Platform.Address(), "ratePerS": 44.0, "duties": []string{"usage_report", "autoscale"}, "lagMs": 800, "dutyPerS": 50.0},
	}})
}

// Start starts the process of the machine.
func (m *Machine) Start() error {
	text, err := m.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(m.rig.folder, "settings-"+m.IP+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.rig.folder, m.Role+"-"+m.IP+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(Program, m.Role)
	cmd.Env = []string{"CYCLAMENHUB_NODE_FILE=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + m.rig.folder}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	m.started = true
	done := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.done, m.expected = cmd, done, false
	m.mu.Unlock()
	go func() {
		err := cmd.Wait()
		m.mu.Lock()
		expected := m.expected
		m.mu.Unlock()
		if !expected {
			m.rig.Record.Printf("process of %s %s ended by itself: %v", m.Role, m.IP, err)
		}
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (m *Machine) Signal(s syscall.Signal) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		m.expected = true
	}
	return m.cmd.Process.Signal(s)
}

// Kill ends the process and waits for it.
func (m *Machine) Kill() {
	if m.cmd == nil {
		return
	}
	_ = m.Signal(syscall.SIGKILL)
	<-m.done
}

// LogContains reports whether the log of the machine's processes contains a text.
func (m *Machine) LogContains(text string) bool {
	return strings.Contains(m.Log(), text)
}

// Log returns the log of the machine's processes.
func (m *Machine) Log() string {
	b, err := os.ReadFile(filepath.Join(m.rig.folder, m.Role+"-"+m.IP+".log"))
	if err != nil {
		return ""
	}
	return string(b)
}

// readyTimeout bounds the start of the deployment.
const readyTimeout = 20 * time.Second

// Start starts all machines, stores the document and waits until the entry hosts are ready.
func (r *Rig) Start(document string) error {
	for _, m := range append(append([]*Machine{}, r.keepers...), r.entries...) {
		if err := m.Start(); err != nil {
			return err
		}
	}
	if _, err := r.Store(document); err != nil {
		return err
	}
	until := time.Now().Add(readyTimeout)
	for _, e := range r.entries {
		for !e.IsReady() {
			if time.Now().After(until) {
				return fmt.Errorf("entry host %s is not ready", e.IP)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// Close ends all processes and removes the folder, unless KEEP is set in the environment.
func (r *Rig) Close() {
	for _, m := range append(append([]*Machine{}, r.keepers...), r.entries...) {
		m.Kill()
	}
	for _, p := range r.workers {
		p.Kill()
	}
	r.Platform.Close()
	r.Record.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", r.folder)
		return
	}
	_ = os.RemoveAll(r.folder)
}
