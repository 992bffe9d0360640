package identifier

import (
	"cmp"
	"fmt"
)

// MaxNameBytes is the maximum length of a name in bytes.
const MaxNameBytes = 64

// Host is the name of an entry host: a machine that runs a cyclamend process.
type Host string

// Check returns an error if h is not a well-formed name.
func (h Host) Check() error { return checkName("host", string(h)) }

// FailureDomain is the name of a set of hosts that fail or are reclaimed together.
type FailureDomain string

// Check returns an error if d is not a well-formed name.
func (d FailureDomain) Check() error { return checkName("failure domain", string(d)) }

// Region is the name of a group of failure domains.
type Region string

// Customer is the name of an organisation whose requests are admitted and accounted
// for together.
type Customer string

// Check returns an error if c is not a well-formed name.
func (c Customer) Check() error { return checkName("customer", string(c)) }

// BackendServer is the name of a model engine or an ordinary service instance that
// serves requests.
type BackendServer string

// Check returns an error if b is not a well-formed name.
func (b BackendServer) Check() error { return checkName("backend server", string(b)) }

// ServerRun identifies one run of a backend server. A server that has started anew
// under the same name is another run, which knows nothing of the one before.
type ServerRun struct {
	ID BackendServer `json:"id"`
	// Incarnation is when the run started, in milliseconds since 1970, or 0 if that
	// is not known.
	Incarnation uint64 `json:"incarnation"`
}

// Compare orders runs by name and incarnation.
func (r ServerRun) Compare(o ServerRun) int {
	return cmp.Or(cmp.Compare(r.ID, o.ID), cmp.Compare(r.Incarnation, o.Incarnation))
}

// Service is the name of a set of backend servers that serve the same calls.
type Service string

// Check returns an error if s is not a well-formed name.
func (s Service) Check() error { return checkName("service", string(s)) }

// Version is the name of a version of a service.
type Version string

// Check returns an error if v is not a well-formed name.
func (v Version) Check() error { return checkName("version", string(v)) }

// Route is a method and path pattern of a service, for example "POST /filings".
type Route string

// Operator is the name of the person or program that made a change.
type Operator string

// Check returns an error if o is not a well-formed name.
func (o Operator) Check() error { return checkName("operator", string(o)) }

// MachineClass is a type of machine that the platform offers at one price.
type MachineClass string

// checkName returns an error for names that need escaping in a URL path, a metric
// label or a log line.
func checkName(kind, s string) error {
	if s == "" {
		return fmt.Errorf("%s name is empty: give it 1 to %d letters, digits, '-', '_' or '.'", kind, MaxNameBytes)
	}
	if len(s) > MaxNameBytes {
		return fmt.Errorf("%s name %.16q… has %d bytes: shorten it to %d", kind, s, len(s), MaxNameBytes)
	}
	for _, r := range s {
		if !isNameRune(r) {
			return fmt.Errorf("%s name %q holds %q: use letters, digits, '-', '_' or '.'", kind, s, r)
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	case r == '-', r == '_', r == '.':
		return true
	default:
		return false
	}
}
