package configurer

import (
	"fmt"
	"net"
	"strconv"

	"cyclamenhub.org/identifier"
)

// MaxKeepers bounds the hosts that keep the control log.
const MaxKeepers = 7

// inspect records every fault of s.
func (s *Settings) inspect(in *inspector) {
	in.check("host", s.Host.Check())
	in.check("failureDomain", s.FailureDomain.Check())
	inspectAddress(in, "callers.listen", s.Callers.Listen)
	s.Operators.inspect(in, "operators")
	if s.Callers.Listen == s.Operators.Listen && !hasFreePort(s.Callers.Listen) {
		in.add("operators.listen", "callers and operators share one address", "write another port")
	}
	s.inspectHosts(in)
	s.inspectKeepers(in)
	if s.ClaimGroups < 0 || s.ClaimGroups > MaxClaimGroups {
		in.add("claimGroups", fmt.Sprintf("%d is out of bounds", s.ClaimGroups), fmt.Sprintf("write 1 to %d, the same on all hosts", MaxClaimGroups))
	}
	switch s.Log.Format {
	case "", "text", "json":
	default:
		in.add("log.format", fmt.Sprintf("%q is no format", s.Log.Format), `write "text" or "json"`)
	}
}

// inspect records the faults of the operators' interface.
func (o *OperatorSettings) inspect(in *inspector, path string) {
	inspectAddress(in, path+".listen", o.Listen)
	seen := make(map[KeyHash]bool)
	for i, t := range o.Tokens {
		at := fmt.Sprintf("%s.tokens[%d]", path, i)
		in.check(at+".operator", t.Operator.Check())
		in.check(at+".tokenHash", t.TokenHash.Check())
		if seen[t.TokenHash] {
			in.add(at+".tokenHash", "the token is listed twice", "give each operator an own token")
		}
		seen[t.TokenHash] = true
	}
}

// inspectHosts records the faults of the host list.
func (s *Settings) inspectHosts(in *inspector) {
	seen := make(map[identifier.Host]bool)
	addresses := make(map[string]bool)
	for i, h := range s.Hosts {
		path := fmt.Sprintf("hosts[%d]", i)
		in.check(path+".name", h.Name.Check())
		in.check(path+".failureDomain", h.FailureDomain.Check())
		inspectAddress(in, path+".address", h.Address)
		if seen[h.Name] {
			in.add(path+".name", fmt.Sprintf("host %q is listed twice", h.Name), "list each host once")
		}
		seen[h.Name] = true
		if addresses[h.Address] && !hasFreePort(h.Address) {
			in.add(path+".address", fmt.Sprintf("address %q is listed twice", h.Address), "give each host an own address")
		}
		addresses[h.Address] = true
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
	if n := len(s.Keepers); n%2 == 0 || n > MaxKeepers {
		in.add("keepers", fmt.Sprintf("%d keepers are listed", n),
			fmt.Sprintf("list an odd number of at most %d, so that a majority is unambiguous", MaxKeepers))
	}
	seen := make(map[identifier.Host]bool)
	for i, k := range s.Keepers {
		path := fmt.Sprintf("keepers[%d]", i)
		if _, ok := s.HostNamed(k); !ok {
			in.add(path, fmt.Sprintf("host %q is not in hosts", k), "add it there or correct the name")
		}
		if seen[k] {
			in.add(path, fmt.Sprintf("host %q is listed twice", k), "list each keeper once")
		}
		seen[k] = true
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

// hasFreePort reports whether the kernel chooses the port of a.
func hasFreePort(a string) bool {
	_, port, err := net.SplitHostPort(a)
	return err == nil && port == "0"
}
