package configurer

import (
	"fmt"
	"net"
	"os"
	"strconv"

	"cyclamenhub.org/identifier"
)

// Settings are what one process reads at start.
type Settings struct {
	// Host is the name of this process's host.
	Host identifier.Host `json:"host"`
	// FailureDomain is where the host stands.
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	// Callers configures the interface that callers use.
	Callers CallerSettings `json:"callers"`
	// Operators configures the interface that cyclamenctl uses.
	Operators OperatorSettings `json:"operators"`
	// Hosts lists every entry host, this one included.
	Hosts []HostAddress `json:"hosts"`
	// Keepers names the hosts that keep the control log. Their number is odd.
	Keepers []identifier.Host `json:"keepers"`
	// DataFolder holds the durable state of a keeper.
	DataFolder string `json:"dataFolder,omitempty"`
	// InitialFleet is a file with the fleet document that an empty control log
	// starts from.
	InitialFleet string `json:"initialFleet,omitempty"`
	// Log configures the process's log.
	Log LogSettings `json:"log"`
}

// CallerSettings configure the interface that callers use.
type CallerSettings struct {
	// Listen is the address, as in "127.0.0.1:8080".
	Listen string `json:"listen"`
}

// OperatorSettings configure the interface that operators use.
type OperatorSettings struct {
	// Listen is the address, as in "127.0.0.1:8081".
	Listen string `json:"listen"`
	// Tokens lists who may use it.
	Tokens []OperatorToken `json:"tokens"`
}

// OperatorToken lets one operator in.
type OperatorToken struct {
	Operator identifier.Operator `json:"operator"`
	// TokenHash is "sha256:" and the hexadecimal SHA-256 of the token.
	TokenHash KeyHash `json:"tokenHash"`
}

// HostAddress tells where one entry host stands.
type HostAddress struct {
	Name          identifier.Host          `json:"name"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	// Address is where its peers reach it, as in "10.0.0.1:7000".
	Address string `json:"address"`
}

// LogSettings configure the process's log.
type LogSettings struct {
	// Format is "text" or "json".
	Format string `json:"format,omitempty"`
}

// ReadSettings reads and checks the settings file at path.
func ReadSettings(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w: name a readable file", err)
	}
	return DecodeSettings(path, b)
}

// DecodeSettings decodes and checks settings; document names them in errors.
func DecodeSettings(document string, b []byte) (*Settings, error) {
	var s Settings
	if err := decodeStrict(document, b, &s); err != nil {
		return nil, err
	}
	var in inspector
	s.inspect(&in)
	if err := in.err(document); err != nil {
		return nil, err
	}
	return &s, nil
}

// Self returns the entry of Hosts that is this process's.
func (s *Settings) Self() HostAddress {
	h, _ := s.HostNamed(s.Host)
	return h
}

// HostNamed returns the entry of Hosts with that name.
func (s *Settings) HostNamed(name identifier.Host) (HostAddress, bool) {
	for _, h := range s.Hosts {
		if h.Name == name {
			return h, true
		}
	}
	return HostAddress{}, false
}

// IsKeeper reports whether this process keeps the control log.
func (s *Settings) IsKeeper() bool {
	for _, k := range s.Keepers {
		if k == s.Host {
			return true
		}
	}
	return false
}

// inspect records every fault of s.
func (s *Settings) inspect(in *inspector) {
	in.check("host", s.Host.Check())
	in.check("failureDomain", s.FailureDomain.Check())
	inspectAddress(in, "callers.listen", s.Callers.Listen)
	inspectAddress(in, "operators.listen", s.Operators.Listen)
	for i, t := range s.Operators.Tokens {
		path := fmt.Sprintf("operators.tokens[%d]", i)
		in.check(path+".operator", t.Operator.Check())
		in.check(path+".tokenHash", t.TokenHash.Check())
	}
	s.inspectHosts(in)
	s.inspectKeepers(in)
	switch s.Log.Format {
	case "", "text", "json":
	default:
		in.add("log.format", fmt.Sprintf("%q is no format", s.Log.Format), `write "text" or "json"`)
	}
}

// inspectHosts records the faults of the host list.
func (s *Settings) inspectHosts(in *inspector) {
	seen := make(map[identifier.Host]bool)
	for i, h := range s.Hosts {
		path := fmt.Sprintf("hosts[%d]", i)
		in.check(path+".name", h.Name.Check())
		in.check(path+".failureDomain", h.FailureDomain.Check())
		inspectAddress(in, path+".address", h.Address)
		if seen[h.Name] {
			in.add(path+".name", fmt.Sprintf("host %q is listed twice", h.Name), "list each host once")
		}
		seen[h.Name] = true
		if h.Name == s.Host && h.FailureDomain != s.FailureDomain {
			in.add(path+".failureDomain", "this host's entry names another failure domain than failureDomain", "write the same in both places")
		}
	}
	if !seen[s.Host] {
		in.add("hosts", fmt.Sprintf("host %q is not listed", s.Host), "list this host too")
	}
}

// inspectKeepers records the faults of the keeper list.
func (s *Settings) inspectKeepers(in *inspector) {
	if len(s.Keepers)%2 == 0 {
		in.add("keepers", fmt.Sprintf("%d keepers are listed", len(s.Keepers)), "list an odd number, as 1, 3 or 5, so that a majority is unambiguous")
	}
	for i, k := range s.Keepers {
		if _, ok := s.HostNamed(k); !ok {
			in.add(fmt.Sprintf("keepers[%d]", i), fmt.Sprintf("host %q is not in hosts", k), "add it there or correct the name")
		}
	}
	if s.IsKeeper() && s.DataFolder == "" {
		in.add("dataFolder", "this host is a keeper and has no data folder", "name a folder on a disk that survives restarts")
	}
}

// inspectAddress records a fault unless a is an IP address and port.
func inspectAddress(in *inspector, path, a string) {
	host, port, err := net.SplitHostPort(a)
	if err != nil {
		in.add(path, fmt.Sprintf("%q is no address", a), `write IP and port, as in "10.0.0.1:7000"`)
		return
	}
	if net.ParseIP(host) == nil {
		in.add(path, fmt.Sprintf("%q is no IP address", host), "hosts reach each other by IP numbers: write one")
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		in.add(path, fmt.Sprintf("%q is no port", port), "write a number from 0 to 65535")
	}
}
