package main

import (
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/daemon"
	"cyclamenhub.org/internal/faker"
)

const (
	// demoKey is the caller's API key.
	demoKey = "demo-key"
	// demoToken is the operator's token.
	demoToken = "demo-token"
	// demoStepTime is the time between the tokens of a fake engine.
	demoStepTime = 20 * time.Millisecond
)

// demoFleetDocument is the fleet document of the demo without the addresses of
// its backend servers.
//
//go:embed demo.json
var demoFleetDocument []byte

// demoCommand implements "cyclamend demo": it runs a host with fake backend
// servers in one process.
type demoCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:8080" description:"address for callers"`

	out io.Writer
}

// Execute runs the demo until the process receives a stop signal.
func (c *demoCommand) Execute([]string) error {
	folder, err := os.MkdirTemp("", "cyclamend-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(folder) }()
	backends, err := startDemoBackends()
	if err != nil {
		return err
	}
	defer backends.close()
	cfg, err := c.settings(folder, backends)
	if err != nil {
		return err
	}
	d, err := daemon.New(cfg, daemon.Options{Log: newLogger(cfg.Log)})
	if err != nil {
		return err
	}
	c.printInstructions(d)
	ctx, stop := stopContext()
	defer stop()
	return d.Run(ctx)
}

// printInstructions prints the addresses and an example call.
func (c *demoCommand) printInstructions(d *daemon.Daemon) {
	fmt.Fprintf(c.out, `callers:   http://%[1]s   (key %[3]s)
operators: http://%[2]s   (token %[4]s)

Try:
  curl -N http://%[1]s/v1/chat/completions -H 'Authorization: Bearer %[3]s' -H 'Content-Type: application/json' -d '{"model":"drafting","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Hello"}]}'
  go run ./cmd/cyclamenctl --address http://%[2]s --token %[4]s config status

Ctrl-C stops it.
`, d.CallerAddress(), d.OperatorAddress(), demoKey, demoToken)
}

// settings writes the fleet document into folder and returns the settings.
func (c *demoCommand) settings(folder string, backends *demoBackends) (*configurer.Settings, error) {
	fleet, err := demoFleet(backends)
	if err != nil {
		return nil, err
	}
	document := folder + "/fleet.json"
	if err := os.WriteFile(document, fleet.Encode(), 0o600); err != nil {
		return nil, err
	}
	peers, err := freeAddress()
	if err != nil {
		return nil, err
	}
	const host, domain = "demo", "local"
	return &configurer.Settings{
		Host: host, FailureDomain: domain,
		Callers: configurer.CallerSettings{Listen: c.Listen},
		Operators: configurer.OperatorSettings{
			Listen: "127.0.0.1:0",
			Tokens: []configurer.OperatorToken{{Operator: "demo", TokenHash: configurer.HashKey(demoToken)}},
		},
		Hosts:      []configurer.HostAddress{{Name: host, FailureDomain: domain, Address: peers}},
		Keepers:    []identifier.Host{host},
		DataFolder: folder + "/data", InitialFleet: document,
	}, nil
}

// demoFleet returns the fleet document of the demo with the addresses of its
// backend servers.
func demoFleet(backends *demoBackends) (*configurer.Fleet, error) {
	f, err := configurer.DecodeFleet(demoFleetDocument)
	if err != nil {
		return nil, err
	}
	for i := range f.Defaults.BackendServers {
		f.Defaults.BackendServers[i].Address = backends.addresses[i]
	}
	f.Defaults.Customers[0].KeyHashes = []configurer.KeyHash{configurer.HashKey(demoKey)}
	return f, nil
}

// freeAddress returns a loopback address with a free port. Another process may
// take the port before it is used.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	address := ln.Addr().String()
	return address, ln.Close()
}

// demoBackends holds the fake backend servers of the demo, in the order of its
// fleet document.
type demoBackends struct {
	addresses []string
	servers   []*http.Server
}

// startDemoBackends starts two fake model engines and a fake plain service.
func startDemoBackends() (*demoBackends, error) {
	b := &demoBackends{}
	for _, h := range []http.Handler{
		faker.NewEngine(faker.EngineConfig{Name: "engine-1", Version: "v1", Seed: 1, StepTime: demoStepTime}),
		faker.NewEngine(faker.EngineConfig{Name: "engine-2", Version: "v1", Seed: 2, StepTime: demoStepTime}),
		faker.NewPlain(3),
	} {
		if err := b.start(h); err != nil {
			b.close()
			return nil, err
		}
	}
	return b, nil
}

// start serves h on a free loopback port.
func (b *demoBackends) start(h http.Handler) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	b.addresses = append(b.addresses, ln.Addr().String())
	b.servers = append(b.servers, s)
	go func() {
		if err := s.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			fmt.Fprintln(os.Stderr, "demo backend server:", err)
		}
	}()
	return nil
}

// close closes the backend servers.
func (b *demoBackends) close() {
	for _, s := range b.servers {
		_ = s.Close()
	}
}
