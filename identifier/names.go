package identifier

import "fmt"

// MaxNameBytes is the largest length of a name, in bytes.
const MaxNameBytes = 64

// Host names one entry host: a machine that runs a cyclamend process.
type Host string

// Check reports whether h is a well-formed name.
func (h Host) Check() error { return checkName("host", string(h)) }

// FailureDomain names a set of hosts that fail or are reclaimed together.
type FailureDomain string

// Check reports whether d is a well-formed name.
func (d FailureDomain) Check() error { return checkName("failure domain", string(d)) }

// Customer names an organisation whose requests are admitted and accounted for
// together.
type Customer string

// Check reports whether c is a well-formed name.
func (c Customer) Check() error { return checkName("customer", string(c)) }

// BackendServer names a model engine or plain service instance that answers
// requests.
type BackendServer string

// Check reports whether b is a well-formed name.
func (b BackendServer) Check() error { return checkName("backend server", string(b)) }

// Service names a set of backend servers that answer the same calls.
type Service string

// Check reports whether s is a well-formed name.
func (s Service) Check() error { return checkName("service", string(s)) }

// Version names one version of a service.
type Version string

// Check reports whether v is a well-formed name.
func (v Version) Check() error { return checkName("version", string(v)) }

// Route names a method and path pattern of a service, as in "POST /filings".
type Route string

// Operator names the person or program that made a change.
type Operator string

// Check reports whether o is a well-formed name.
func (o Operator) Check() error { return checkName("operator", string(o)) }

// MachineClass names a kind of machine that the platform offers at one price.
type MachineClass string

// checkName refuses names that could not stand in a URL path, a metric label
// or a log line as they are.
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
