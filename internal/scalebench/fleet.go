package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
)

// operatorToken is the operator's token in the measured fleets.
const operatorToken = "bench-token"

// The ports of every process. Processes differ in their IP addresses.
const (
	peerPort     = 7000
	callerPort   = 8080
	operatorPort = 8081
)

// node is one process of the fleet.
type node struct {
	host    configurer.HostAddress
	ip      string
	keeper  bool
	process *exec.Cmd
}

// role returns the node's role in the fleet besides serving callers: "keeper",
// "relay" or, for a node without another role, "entry". The relay of a failure
// domain is its first host by name.
func (f *fleet) role(n *node) string {
	if n.keeper {
		return "keeper"
	}
	for _, m := range f.nodes {
		if m.host.FailureDomain == n.host.FailureDomain && m.host.Name < n.host.Name {
			return "entry"
		}
	}
	return "relay"
}

// url returns the URL of a path on a port of the node.
func (n *node) url(port int, path string) string {
	return fmt.Sprintf("http://%s:%d%s", n.ip, port, path)
}

// fleet is a set of processes and their files.
type fleet struct {
	dir   string
	nodes []*node
}

// newFleet creates a fleet of n hosts and writes its fleet document and
// settings files.
func newFleet(o *options, n int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "scalebench-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir}
	for i := range n {
		f.nodes = append(f.nodes, newNode(o, i))
	}
	document := filepath.Join(dir, "fleet.json")
	if err := os.WriteFile(document, fleetDocument(o, 1000).Encode(), 0o600); err != nil {
		return nil, err
	}
	for _, nd := range f.nodes {
		if err := f.writeSettings(nd, document); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// newNode returns the i-th host. The keepers are spread over the failure
// domains, and their names sort last so that they do not become relays.
func newNode(o *options, i int) *node {
	name := fmt.Sprintf("h%03d", i)
	if i < o.Keepers {
		name = fmt.Sprintf("keeper%d", i)
	}
	octet2, octet3 := 16+os.Getpid()%200, 1+i/250
	ip := fmt.Sprintf("127.%d.%d.%d", octet2, octet3, 1+i%250)
	return &node{
		ip: ip, keeper: i < o.Keepers,
		host: configurer.HostAddress{
			Name:          identifier.Host(name),
			FailureDomain: identifier.FailureDomain(fmt.Sprintf("d%d", i%o.Domains)),
			Address:       fmt.Sprintf("%s:%d", ip, peerPort),
		},
	}
}

// fleetDocument returns a fleet document with the given maximum queue length.
// Changes differ in this length only.
func fleetDocument(o *options, queued int) *configurer.Fleet {
	f := &configurer.Fleet{Defaults: configurer.Defaults{
		Services: []configurer.Service{{
			Name: "drafting", Kind: configurer.ModelService, Version: "v1",
			FirstTokenTarget:    configurer.Duration(740 * time.Millisecond),
			BetweenTokensTarget: configurer.Duration(30 * time.Millisecond),
			Deadline:            configurer.Duration(30 * time.Second),
		}},
		Customers: []configurer.Customer{{Name: "foodbank", KeyHashes: []configurer.KeyHash{configurer.HashKey("k")}, Weight: 1}},
		Limits: configurer.Limits{
			BodyBytes: 1 << 20, QueuedRequests: queued, RetryShare: 0.1,
			ClaimHorizon: configurer.Duration(24 * time.Hour),
		},
	}}
	for i := range o.Backends {
		f.Defaults.BackendServers = append(f.Defaults.BackendServers, configurer.BackendServer{
			Name: identifier.BackendServer(fmt.Sprintf("b%04d", i)), Service: "drafting", Version: "v1",
			FailureDomain: identifier.FailureDomain(fmt.Sprintf("d%d", i%o.Domains)),
			Address:       fmt.Sprintf("10.0.%d.%d:9000", i/250, 1+i%250), Concurrency: 16,
		})
	}
	return f
}

// writeSettings writes the settings file of a node.
func (f *fleet) writeSettings(n *node, document string) error {
	s := configurer.Settings{
		Host: n.host.Name, FailureDomain: n.host.FailureDomain,
		Callers: configurer.CallerSettings{Listen: fmt.Sprintf("%s:%d", n.ip, callerPort)},
		Operators: configurer.OperatorSettings{
			Listen: fmt.Sprintf("%s:%d", n.ip, operatorPort),
			Tokens: []configurer.OperatorToken{{Operator: "bench", TokenHash: configurer.HashKey(operatorToken)}},
		},
	}
	for _, m := range f.nodes {
		s.Hosts = append(s.Hosts, m.host)
		if m.keeper {
			s.Keepers = append(s.Keepers, m.host.Name)
		}
	}
	if n.keeper {
		s.DataFolder = filepath.Join(f.dir, string(n.host.Name))
		s.InitialFleet = document
	}
	b, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return os.WriteFile(f.settingsFile(n), b, 0o600)
}

// settingsFile returns the path of a node's settings file.
func (f *fleet) settingsFile(n *node) string {
	return filepath.Join(f.dir, string(n.host.Name)+".json")
}

// startAll starts every process.
func (f *fleet) startAll(daemon string) error {
	for _, n := range f.nodes {
		n.process = exec.Command(daemon, "run", "--settings", f.settingsFile(n))
		n.process.Env = append(os.Environ(), "GOMAXPROCS=2")
		if err := n.process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// stopAll kills every process and removes the fleet's files.
func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		if n.process != nil {
			_ = n.process.Process.Kill()
		}
	}
	for _, n := range f.nodes {
		if n.process != nil {
			_ = n.process.Wait()
		}
	}
	_ = os.RemoveAll(f.dir)
}
