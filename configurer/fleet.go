package configurer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"cyclamenhub.org/identifier"
)

// Fleet is the document that all hosts share.
type Fleet struct {
	// Defaults hold unless an exception overrides them.
	Defaults Defaults `json:"defaults"`
	// Exceptions lists what overrides a default, and why.
	Exceptions []Exception `json:"exceptions,omitempty"`
}

// Defaults hold for the whole fleet.
type Defaults struct {
	// Services lists what the backend servers offer.
	Services []Service `json:"services,omitempty"`
	// BackendServers lists the instances of every service.
	BackendServers []BackendServer `json:"backendServers,omitempty"`
	// Customers lists who may send requests.
	Customers []Customer `json:"customers,omitempty"`
	// Limits bound what each process holds.
	Limits Limits `json:"limits"`
}

// ServiceKind tells how a service is spoken to.
type ServiceKind string

// The kinds of service.
const (
	// ModelService is a model engine with OpenAI-compatible calls.
	ModelService ServiceKind = "model"
	// PlainService is any other HTTP service.
	PlainService ServiceKind = "plain"
)

// Service is a set of backend servers that answer the same calls.
type Service struct {
	// Name is the service's own.
	Name identifier.Service `json:"name"`
	// Kind is "model" or "plain".
	Kind ServiceKind `json:"kind"`
	// Version is the present version.
	Version identifier.Version `json:"version"`
	// FirstTokenTarget bounds the time to the first token, or to the answer of
	// a plain service, for 95 in 100 requests.
	FirstTokenTarget Duration `json:"firstTokenTarget"`
	// BetweenTokensTarget bounds the time between tokens for 95 in 100; 0 means
	// no bound.
	BetweenTokensTarget Duration `json:"betweenTokensTarget,omitempty"`
	// Deadline is that of a request that names none.
	Deadline Duration `json:"deadline"`
	// NonIdempotentRoutes lists the calls that may run at most once, as in
	// "POST /filings".
	NonIdempotentRoutes []identifier.Route `json:"nonIdempotentRoutes,omitempty"`
}

// BackendServer is one model engine or plain service instance.
type BackendServer struct {
	// Name is the backend server's own.
	Name identifier.BackendServer `json:"name"`
	// Service is what it is an instance of.
	Service identifier.Service `json:"service"`
	// Version is the version it runs.
	Version identifier.Version `json:"version"`
	// FailureDomain is where it stands.
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	// Address is where it answers, as in "10.0.0.11:9000".
	Address string `json:"address"`
	// Concurrency is how many requests it runs side by side.
	Concurrency int `json:"concurrency"`
	// Price is its cost per hour, in the fleet's currency.
	Price float64 `json:"price,omitempty"`
	// ChecksFencing tells whether it refuses orders with an old fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
}

// Customer is an organisation that sends requests.
type Customer struct {
	// Name is the customer's own.
	Name identifier.Customer `json:"name"`
	// KeyHashes lists the stored forms of its keys.
	KeyHashes []KeyHash `json:"keyHashes"`
	// Weight is its part in the fair queue; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond bounds its rate over the fleet; 0 means no bound.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// TokensPerSecond bounds its generated tokens; 0 means no bound.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty"`
}

// Limits bound what a process holds.
type Limits struct {
	// BodyBytes is the largest request body.
	BodyBytes int64 `json:"bodyBytes"`
	// QueuedRequests bounds the queue of each process.
	QueuedRequests int `json:"queuedRequests"`
	// RetryShare is the part of recent successes that may be spent on retries.
	RetryShare identifier.Share `json:"retryShare"`
	// ClaimHorizon is how long an idempotency key is remembered.
	ClaimHorizon Duration `json:"claimHorizon"`
}

// LoadFleet decodes an accepted fleet document, which was checked in full
// before it was proposed. It ignores fields that this version does not know,
// since a newer one may have accepted them, and checks the values it uses.
func LoadFleet(b []byte) (*Fleet, error) {
	var f Fleet
	if err := json.Unmarshal(b, &f); err != nil {
		return nil, fmt.Errorf("accepted fleet document: %w: upgrade this host", err)
	}
	var in inspector
	f.inspect(&in)
	if err := in.err("accepted fleet document"); err != nil {
		return nil, err
	}
	return &f, nil
}

// DecodeFleet decodes and checks a fleet document from an operator. Unknown
// and repeated fields are faults, and all faults are reported at once.
func DecodeFleet(b []byte) (*Fleet, error) {
	var f Fleet
	if err := decodeStrict("fleet", b, &f); err != nil {
		return nil, err
	}
	return &f, nil
}

// Encode returns the document as indented JSON.
func (f *Fleet) Encode() []byte {
	b, err := json.MarshalIndent(f, "", "  ")
	if err != nil {
		// Every field of a checked document can be encoded.
		panic(fmt.Sprintf("fleet document: %v", err))
	}
	return append(b, '\n')
}

// Indent returns a fleet document as an operator edits it.
func Indent(document []byte) ([]byte, error) {
	var b bytes.Buffer
	if err := json.Indent(&b, document, "", "  "); err != nil {
		return nil, fmt.Errorf("fleet document: %w: fetch it again", err)
	}
	b.WriteByte('\n')
	return b.Bytes(), nil
}

// Service returns the service with that name.
func (d *Defaults) Service(name identifier.Service) (Service, bool) {
	i := slices.IndexFunc(d.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return Service{}, false
	}
	return d.Services[i], true
}

// IsNonIdempotent reports whether a call may run at most once.
func (s *Service) IsNonIdempotent(r identifier.Route) bool {
	return slices.Contains(s.NonIdempotentRoutes, r)
}
