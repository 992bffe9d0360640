package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// binary is the program that the deploy file builds.
const binary = "target/cyclamend"

// The ports of a machine, the same on all of them as on the platform, and that of the metrics.
const (
	internalPort  = 7600
	lastInternal  = 7615
	controlPort   = 8229
	frontendPort  = 8221
	readinessPort = 8224
	cloudPort     = 8225
	metricsPort   = 9464
)

// system is a small deployment: machines with addresses of their own in a loopback network.
type system struct {
	*record
	// trouble is whether the disruption takes place.
	trouble bool
	// prefix begins all addresses.
	prefix  string
	folder  string
	keepers []*machine
	entries []*machine
	cloud   *cloud
	workers []*worker
	// memoryMB is the memory of each machine.
	memoryMB int
}

// machine is a machine and the one process that runs on it.
type machine struct {
	s        *system
	name     string
	role     string
	ip       string
	zone     string
	founding bool
	run      *exec.Cmd
	ended    chan struct{}
}

// newSystem returns a system in a free loopback network and a temporary folder.
func newSystem(rec *record, trouble bool) (*system, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	s := &system{record: rec, trouble: trouble, folder: folder, memoryMB: 284}
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d.", 2+rand.IntN(250), 1+rand.IntN(250))
		if s.isFree() {
			return s, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

// isFree reports whether the ports are free at the first addresses of the network.
func (s *system) isFree() bool {
	for host := 1; host <= 40; host++ {
		for _, port := range []int{internalPort, controlPort, frontendPort, readinessPort, cloudPort, metricsPort} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", s.prefix, host, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// address returns the address of a host of the network.
func (s *system) address(host, port int) string { return fmt.Sprintf("%s%d:%d", s.prefix, host, port) }

// zoneNames are the zones of the machines in turn.
var zoneNames = []string{"riga-a", "riga-b", "riga-c"}

// keeperCount is the number of keepers, one in each zone.
const keeperCount = 3

// start starts a platform, the keepers and entry hosts.
func (s *system) start(entries int) error {
	var err error
	if s.cloud, err = newCloud(s); err != nil {
		return err
	}
	for i := range keeperCount {
		s.keepers = append(s.keepers, s.newMachine("core", "keeper", 1+i, i))
	}
	for i := range entries {
		s.entries = append(s.entries, s.newMachine("edge", "entry", 11+i, i))
	}
	for _, m := range s.machines() {
		m.founding = true
		if err := m.start(); err != nil {
			return err
		}
		m.founding = false
	}
	return nil
}

// newMachine returns a machine whose process does not run yet.
func (s *system) newMachine(class, role string, host, n int) *machine {
	zone := zoneNames[n%len(zoneNames)]
	return &machine{s: s, name: fmt.Sprintf("%s-%s-%d", class, zone, n+1), role: role, ip: fmt.Sprintf("%s%d", s.prefix, host), zone: zone}
}

// machines returns all machines.
func (s *system) machines() []*machine {
	return append(append([]*machine(nil), s.keepers...), s.entries...)
}

// end ends all processes and removes the folder.
func (s *system) end() {
	for _, m := range s.machines() {
		m.kill()
	}
	for _, w := range s.workers {
		w.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("folder", s.folder)
	}
}

// settings returns the settings file of a machine, by deploy/settings.json.
func (m *machine) settings() ([]byte, error) {
	s := m.s
	listen, serves := map[string]any{}, "edge"
	limits := map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": s.memoryMB, "maxFds": 4100, "linkMbps": 1000, "diskMb": 0}
	if m.role == "keeper" {
		serves = "control"
		listen["controlPlane"] = fmt.Sprintf("%s:%d", m.ip, controlPort)
		limits["diskMb"] = 128
	} else {
		listen["frontend"] = fmt.Sprintf("%s:%d", m.ip, frontendPort)
		listen["readiness"] = fmt.Sprintf("%s:%d", m.ip, readinessPort)
	}
	seeds := []string{s.address(1, controlPort), s.address(2, controlPort), s.address(3, controlPort)}
	platform := map[string]any{
		"nodeName": m.name, "role": m.role, "machineClass": map[string]string{"keeper": "core", "entry": "edge"}[m.role],
		"serves": []string{serves}, "ip": m.ip, "zone": m.zone, "region": "riga", "internalPorts": []int{internalPort, lastInternal},
		"seedNodes": seeds, "bootstrap": m.founding, "countsAsLoss": m.role == "keeper", "discovery": "cloud_api", "entry": "vip", "heartbeatMs": 1200,
		"contracts":  []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader", "rollout"},
		"configMode": "highest", "zones": map[string]string{"riga-a": "riga", "riga-b": "riga", "riga-c": "riga"},
		"listen": listen, "limits": limits, "faultTolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 3000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 2000, "downgradeSlackMs": 250, "outerMs": 5000, "revokeStrict": true, "revokeMs": 5000, "retryBudgetRatio": 0.2,
			"retryWindowS": 10, "retrySlack": 58, "quotaWindowS": 8, "quotaOverrun": 0.1, "quotaSlack": 140000, "fencingRequired": false,
			"leaseMs": 3000, "thawMs": 300, "reportWindowS": 5, "usageTolerance": 0.05, "usageLateS": 10, "exposureShare": 0.1,
			"exposureSlack": 50, "rollbackMs": 5000, "recoveryS": 12, "deliveryDeadlineMs": 120, "reuseWindowS": 10,
		},
		"cloudApi": map[string]any{"address": s.cloud.address, "ratePerS": 44.0, "duties": []string{"usage_report", "autoscale"}, "lagMs": 800, "dutyPerS": 50.0},
	}
	if m.role == "keeper" {
		platform["dataDir"] = filepath.Join(s.folder, m.name)
	}
	return json.Marshal(map[string]any{"metricsPort": metricsPort, "platform": platform})
}

// start starts the process of a machine.
func (m *machine) start() error {
	b, err := m.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(m.s.folder, m.name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return err
	}
	if m.role == "keeper" {
		if err := os.MkdirAll(filepath.Join(m.s.folder, m.name), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(m.s.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(binary, m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.s.folder, "CYCLAMENHUB_NODE_FILE=" + path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	ended := make(chan struct{})
	m.run, m.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(ended)
	}()
	m.s.log("%s started, process %d", m.name, cmd.Process.Pid)
	return nil
}

// hasEnded reports whether the process runs no more.
func (m *machine) hasEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process.
func (m *machine) signal(sig syscall.Signal) {
	if m.run != nil && !m.hasEnded() {
		_ = m.run.Process.Signal(sig)
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	if m.run == nil {
		return
	}
	m.signal(syscall.SIGKILL)
	<-m.ended
}

// putConfig sends a config to the keepers in turn until one acknowledges it.
func (s *system) putConfig(config any) error {
	b, err := json.Marshal(config)
	if err != nil {
		return err
	}
	until := time.Now().Add(20 * time.Second)
	for n := 0; time.Now().Before(until); n++ {
		status, answer := s.operate(http.MethodPut, s.keepers[n%len(s.keepers)], "/cyclamenhub/config", b)
		if status == http.StatusOK {
			s.log("config acknowledged")
			return nil
		}
		s.log("config: status %d, %s", status, answer)
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("no keeper acknowledged the config")
}

// operate makes a call of the operator and returns the status, or 0, and the body.
func (s *system) operate(method string, m *machine, path string, body []byte) (int, string) {
	c := http.Client{Timeout: 2 * time.Second}
	defer c.CloseIdleConnections()
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", m.ip, controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(b)
}

// isReady asks a machine whether it is ready, as the provider does.
func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second}
	defer c.CloseIdleConnections()
	res, err := c.Get(fmt.Sprintf("http://%s:%d/cyclamenhub/readyz", m.ip, readinessPort))
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until all entry hosts are ready.
func (s *system) awaitReady() error {
	until := time.Now().Add(20 * time.Second)
	for _, m := range s.entries {
		for !m.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.log("all entry hosts are ready")
	return nil
}

// frontend returns the address for clients of an entry host.
func (m *machine) frontend() string { return fmt.Sprintf("%s:%d", m.ip, frontendPort) }
