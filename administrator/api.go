package administrator

import (
	"encoding/json"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/reducer"
)

// Configuration is the response to GET /v1/config.
type Configuration struct {
	// Revision is the current revision, or 0 before the first change.
	Revision identifier.Revision `json:"revision"`
	Since    time.Time           `json:"since"`
	Document json.RawMessage     `json:"document,omitempty"`
}

// ConfigurationChange is the request body of PUT /v1/config.
type ConfigurationChange struct {
	// ChangeID identifies the change. It stays the same when the change is
	// resent.
	ChangeID identifier.ChangeID `json:"changeId"`
	// Base is the revision that the change was made against.
	Base identifier.Revision `json:"base"`
	// Reason is the operator's explanation.
	Reason string `json:"reason,omitempty"`
	// Document is the complete new fleet document.
	Document json.RawMessage `json:"document"`
}

// ChangeResult is the response to an accepted change.
type ChangeResult struct {
	ChangeID identifier.ChangeID `json:"changeId"`
	Revision identifier.Revision `json:"revision"`
	// Resent reports whether the change was already accepted under its id.
	Resent bool `json:"resent,omitempty"`
}

// ExceptionAddition is the request body of POST /v1/exceptions.
type ExceptionAddition struct {
	ChangeID identifier.ChangeID `json:"changeId"`
	// Base is the revision that the change was made against.
	Base identifier.Revision `json:"base"`
	// Exception is the exception to add. Its reason is also the reason of the
	// change.
	Exception configurer.Exception `json:"exception"`
}

// ExceptionRemoval is the request body of POST /v1/exceptions/{name}/remove.
type ExceptionRemoval struct {
	ChangeID identifier.ChangeID `json:"changeId"`
	// Base is the revision that the change was made against.
	Base identifier.Revision `json:"base"`
	// Reason is the operator's explanation.
	Reason string `json:"reason"`
}

// Exceptions is the response to GET /v1/exceptions.
type Exceptions struct {
	Revision   identifier.Revision `json:"revision"`
	Exceptions []ExceptionStatus   `json:"exceptions"`
}

// ExceptionStatus is one exception and whether it is active.
type ExceptionStatus struct {
	configurer.Exception
	// Active reports whether the exception has not expired.
	Active bool `json:"active"`
}

// Audit is the response to GET /v1/audit and GET /v1/config/history.
type Audit struct {
	// Records holds the audit records, newest first.
	Records []reducer.AuditRecord `json:"records"`
	// Older reports whether there are records older than these.
	Older bool `json:"older"`
}

// HostRevision is the configuration revision that a host has applied.
type HostRevision struct {
	Host          identifier.Host          `json:"host"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Revision      identifier.Revision      `json:"revision"`
	// Since is when the host applied the revision.
	Since time.Time `json:"since"`
}

// ConfigurationStatus is the response to GET /v1/config/status.
type ConfigurationStatus struct {
	Revision identifier.Revision `json:"revision"`
	// InForce reports whether every listed host has applied Revision or a newer
	// one.
	InForce bool           `json:"inForce"`
	Hosts   []HostRevision `json:"hosts"`
}
