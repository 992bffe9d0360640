package configurer

import (
	"fmt"
	"os"
	"slices"

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
	// ClaimGroups is the number of groups that the claims of idempotency keys
	// are divided among, 0 to 64; 0 means 1. It is the same on all hosts.
	ClaimGroups int `json:"claimGroups,omitempty"`
	// DataFolder holds the durable state of a keeper.
	DataFolder string `json:"dataFolder,omitempty"`
	// InitialFleet is a file with the fleet document that an empty control log
	// starts from.
	InitialFleet string `json:"initialFleet,omitempty"`
	// Log configures the process's log.
	Log LogSettings `json:"log,omitzero"`
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
	Tokens []OperatorToken `json:"tokens,omitempty"`
}

// OperatorToken lets one operator in.
type OperatorToken struct {
	// Operator is the name that the audit trail shows.
	Operator identifier.Operator `json:"operator"`
	// TokenHash is "sha256:" and the hexadecimal SHA-256 of the token.
	TokenHash KeyHash `json:"tokenHash"`
}

// OperatorOf returns the operator with that token, or "". It compares every
// hash, so that the time it takes tells nothing about them.
func OperatorOf(tokens []OperatorToken, token string) identifier.Operator {
	var found identifier.Operator
	for _, t := range tokens {
		if t.TokenHash.Matches(token) {
			found = t.Operator
		}
	}
	return found
}

// HostAddress tells where one entry host stands.
type HostAddress struct {
	// Name is the host's own.
	Name identifier.Host `json:"name"`
	// FailureDomain is where the host stands.
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

// MaxClaimGroups bounds Settings.ClaimGroups.
const MaxClaimGroups = 64

// ClaimGroupCount returns the number of claim groups.
func (s *Settings) ClaimGroupCount() int { return max(s.ClaimGroups, 1) }

// IsKeeper reports whether this process keeps the control log.
func (s *Settings) IsKeeper() bool {
	return slices.Contains(s.Keepers, s.Host)
}
