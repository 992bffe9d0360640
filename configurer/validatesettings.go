package configurer

import (
	"fmt"
	"net"
	"strconv"

	"cyclamenhub.org/identifier"
)

// MaxKeepers is the maximum number of hosts that keep the control log.
const MaxKeepers = 7

// validate records every fault of s.
func (s *Settings) validate(fc *faultCollector) {
	fc.addError("host", s.Host.Check())
	fc.addError("failureDomain", s.FailureDomain.Check())
	validateAddress(fc, "callers.listen", s.Callers.Listen)
	s.Operators.validate(fc, "operators")
	if s.Callers.Listen == s.Operators.Listen && !hasEphemeralPort(s.Callers.Listen) {
		fc.add("operators.listen", "callers and operators share one address", "write another port")
	}
	s.validateHosts(fc)
	s.validateKeepers(fc)
	if s.ClaimGroups < 0 || s.ClaimGroups > MaxClaimGroups {
		fc.add("claimGroups", fmt.Sprintf("%d is out of bounds", s.ClaimGroups), fmt.Sprintf("write 1 to %d, the same on all hosts", MaxClaimGroups))
	}
	switch s.Log.Format {
	case "", "text", "json":
	default:
		fc.add("log.format", fmt.Sprintf("%q is no format", s.Log.Format), `write "text" or "json"`)
	}
}

// validate records the faults of the configuration of the operators' API.
func (o *OperatorSettings) validate(fc *faultCollector, path string) {
	validateAddress(fc, path+".listen", o.Listen)
	seen := make(map[KeyHash]bool)
	for i, t := range o.Tokens {
		at := fmt.Sprintf("%s.tokens[%d]", path, i)
		fc.addError(at+".operator", t.Operator.Check())
		fc.addError(at+".tokenHash", t.TokenHash.Check())
		if seen[t.TokenHash] {
			fc.add(at+".tokenHash", "the token is listed twice", "give each operator an own token")
		}
		seen[t.TokenHash] = true
	}
}

// validateHosts records the faults of the host list.
func (s *Settings) validateHosts(fc *faultCollector) {
	seen := make(map[identifier.Host]bool)
	addresses := make(map[string]bool)
	for i, h := range s.Hosts {
		path := fmt.Sprintf("hosts[%d]", i)
		fc.addError(path+".name", h.Name.Check())
		fc.addError(path+".failureDomain", h.FailureDomain.Check())
		validateAddress(fc, path+".address", h.Address)
		if seen[h.Name] {
			fc.add(path+".name", fmt.Sprintf("host %q is listed twice", h.Name), "list each host once")
		}
		seen[h.Name] = true
		if addresses[h.Address] && !hasEphemeralPort(h.Address) {
			fc.add(path+".address", fmt.Sprintf("address %q is listed twice", h.Address), "give each host an own address")
		}
		addresses[h.Address] = true
		if h.Name == s.Host && h.FailureDomain != s.FailureDomain {
			fc.add(path+".failureDomain", "this host's entry names another failure domain than failureDomain", "write the same in both places")
		}
	}
	if !seen[s.Host] {
		fc.add("hosts", fmt.Sprintf("host %q is not listed", s.Host), "list this host too")
	}
}

// validateKeepers records the faults of the keeper list.
func (s *Settings) validateKeepers(fc *faultCollector) {
	if n := len(s.Keepers); n%2 == 0 || n > MaxKeepers {
		fc.add("keepers", fmt.Sprintf("%d keepers are listed", n),
			fmt.Sprintf("list an odd number of at most %d, so that a majority is unambiguous", MaxKeepers))
	}
	seen := make(map[identifier.Host]bool)
	for i, k := range s.Keepers {
		path := fmt.Sprintf("keepers[%d]", i)
		if _, ok := s.HostNamed(k); !ok {
			fc.add(path, fmt.Sprintf("host %q is not in hosts", k), "add it there or correct the name")
		}
		if seen[k] {
			fc.add(path, fmt.Sprintf("host %q is listed twice", k), "list each keeper once")
		}
		seen[k] = true
	}
	if s.IsKeeper() && s.DataFolder == "" {
		fc.add("dataFolder", "this host is a keeper and has no data folder", "name a folder on a disk that survives restarts")
	}
}

// validateAddress records a fault unless a is an IP address and a port.
func validateAddress(fc *faultCollector, path, a string) {
	host, port, err := net.SplitHostPort(a)
	if err != nil {
		fc.add(path, fmt.Sprintf("%q is no address", a), `write IP and port, as in "10.0.0.1:7000"`)
		return
	}
	if net.ParseIP(host) == nil {
		fc.add(path, fmt.Sprintf("%q is no IP address", host), "hosts reach each other by IP numbers: write one")
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		fc.add(path, fmt.Sprintf("%q is no port", port), "write a number from 0 to 65535")
	}
}

// hasEphemeralPort reports whether the port of a is 0, so that the kernel
// chooses one.
func hasEphemeralPort(a string) bool {
	_, port, err := net.SplitHostPort(a)
	return err == nil && port == "0"
}
