package administrator

import (
	"encoding/json"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/reducer"
)

// Configuration is the answer to GET /v1/config.
type Configuration struct {
	// Revision is 0 before the first change.
	Revision identifier.Revision `json:"revision"`
	Since    time.Time           `json:"since"`
	Document json.RawMessage     `json:"document,omitempty"`
}

// Change is the body of PUT /v1/config.
type Change struct {
	// ChangeID is the same in every resend of the change.
	ChangeID identifier.ChangeID `json:"changeId"`
	// Base is the revision the change was made against.
	Base identifier.Revision `json:"base"`
	// Reason says why, in the operator's words.
	Reason string `json:"reason,omitempty"`
	// Document is the whole fleet document.
	Document json.RawMessage `json:"document"`
}

// Changed is the answer to an accepted change.
type Changed struct {
	ChangeID identifier.ChangeID `json:"changeId"`
	Revision identifier.Revision `json:"revision"`
	// Resent says that the change had been accepted before under its id.
	Resent bool `json:"resent,omitempty"`
}

// Addition is the body of POST /v1/exceptions.
type Addition struct {
	ChangeID identifier.ChangeID `json:"changeId"`
	// Base is the revision the change was made against.
	Base identifier.Revision `json:"base"`
	// Exception is the exception to add. Its reason is that of the change.
	Exception configurer.Exception `json:"exception"`
}

// Removal is the body of POST /v1/exceptions/{name}/remove.
type Removal struct {
	ChangeID identifier.ChangeID `json:"changeId"`
	// Base is the revision the change was made against.
	Base identifier.Revision `json:"base"`
	// Reason says why, in the operator's words.
	Reason string `json:"reason"`
}

// Exceptions is the answer to GET /v1/exceptions.
type Exceptions struct {
	Revision   identifier.Revision `json:"revision"`
	Exceptions []ExceptionStatus   `json:"exceptions"`
}

// ExceptionStatus is one exception and whether it holds.
type ExceptionStatus struct {
	configurer.Exception
	// Active says that the exception has not lapsed.
	Active bool `json:"active"`
}

// Audit is the answer to GET /v1/audit and GET /v1/config/history.
type Audit struct {
	// Records holds the newest first.
	Records []reducer.AuditRecord `json:"records"`
	// Older says that there are older records than these.
	Older bool `json:"older"`
}

// HostRevision tells which revision a host runs.
type HostRevision struct {
	Host          identifier.Host          `json:"host"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Revision      identifier.Revision      `json:"revision"`
	// Since is when the host put the revision in force.
	Since time.Time `json:"since"`
}

// Status is the answer to GET /v1/config/status.
type Status struct {
	Revision identifier.Revision `json:"revision"`
	// InForce says that every listed host runs Revision.
	InForce bool           `json:"inForce"`
	Hosts   []HostRevision `json:"hosts"`
}
