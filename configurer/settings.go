package configurer

import (
	"fmt"
	"os"
	"slices"

	"cyclamenhub.org/identifier"
)

// Settings configure one process, which reads them at start.
type Settings struct {
	// Host is the name of this process's host.
	Host identifier.Host `json:"host"`
	// FailureDomain is the failure domain that the host runs in.
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	// Callers configures the API for callers.
	Callers CallerSettings `json:"callers"`
	// Operators configures the API for operators, which cyclamenctl uses.
	Operators OperatorSettings `json:"operators"`
	// Hosts lists every entry host, this one included.
	Hosts []HostAddress `json:"hosts"`
	// Keepers lists the hosts that keep the control log. Their number is odd.
	Keepers []identifier.Host `json:"keepers"`
	// ClaimGroups is the number of groups that the claims of idempotency keys
	// are divided among, 0 to 64; 0 means 1. It must be the same on all hosts.
	ClaimGroups int `json:"claimGroups,omitempty"`
	// DataFolder is the path of the folder for the durable state of a keeper.
	DataFolder string `json:"dataFolder,omitempty"`
	// InitialFleet is the path of a file with the fleet document that
	// initializes an empty control log.
	InitialFleet string `json:"initialFleet,omitempty"`
	// Log configures the process's log.
	Log LogSettings `json:"log,omitzero"`
}

// CallerSettings configure the API for callers.
type CallerSettings struct {
	// Listen is the address to listen on, as in "127.0.0.1:8080".
	Listen string `json:"listen"`
}

// OperatorSettings configure the API for operators.
type OperatorSettings struct {
	// Listen is the address to listen on, as in "127.0.0.1:8081".
	Listen string `json:"listen"`
	// Tokens lists the tokens that authenticate operators.
	Tokens []OperatorToken `json:"tokens,omitempty"`
}

// OperatorToken authenticates one operator.
type OperatorToken struct {
	// Operator is the operator's name in the audit trail.
	Operator identifier.Operator `json:"operator"`
	// TokenHash is "sha256:" and the hexadecimal SHA-256 of the token.
	TokenHash KeyHash `json:"tokenHash"`
}

// OperatorOf returns the operator with that token, or "" if there is none. It
// compares every hash, so that its run time reveals nothing about them.
func OperatorOf(tokens []OperatorToken, token string) identifier.Operator {
	var found identifier.Operator
	for _, t := range tokens {
		if t.TokenHash.Matches(token) {
			found = t.Operator
		}
	}
	return found
}

// HostAddress is the failure domain and address of one entry host.
type HostAddress struct {
	// Name identifies the host.
	Name identifier.Host `json:"name"`
	// FailureDomain is the failure domain that the host runs in.
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	// Address is the IP address and port at which its peers reach it, as in
	// "10.0.0.1:7000".
	Address string `json:"address"`
}

// LogSettings configure the process's log.
type LogSettings struct {
	// Format is "text" or "json".
	Format string `json:"format,omitempty"`
}

// ReadSettings reads and validates the settings file at path.
func ReadSettings(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w: name a readable file", err)
	}
	return DecodeSettings(path, b)
}

// DecodeSettings decodes and validates settings. The error is a *FaultsError
// that begins each line with document.
func DecodeSettings(document string, b []byte) (*Settings, error) {
	var s Settings
	if err := decodeStrict(document, b, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// Self returns the entry of Hosts for this process's host.
func (s *Settings) Self() HostAddress {
	h, _ := s.HostNamed(s.Host)
	return h
}

// HostNamed returns the entry of Hosts with that name, or false if there is
// none.
func (s *Settings) HostNamed(name identifier.Host) (HostAddress, bool) {
	for _, h := range s.Hosts {
		if h.Name == name {
			return h, true
		}
	}
	return HostAddress{}, false
}

// MaxClaimGroups is the maximum of Settings.ClaimGroups.
const MaxClaimGroups = 64

// ClaimGroupCount returns the number of claim groups, at least 1.
func (s *Settings) ClaimGroupCount() int { return max(s.ClaimGroups, 1) }

// IsKeeper reports whether this host keeps the control log.
func (s *Settings) IsKeeper() bool {
	return slices.Contains(s.Keepers, s.Host)
}
