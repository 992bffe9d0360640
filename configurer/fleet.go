package configurer

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"cyclamenhub.org/identifier"
)

// Fleet is the configuration document that all hosts share.
type Fleet struct {
	// Defaults apply unless an exception overrides them.
	Defaults Defaults `json:"defaults"`
	// Exceptions lists the overrides of defaults, each with a reason.
	Exceptions []Exception `json:"exceptions,omitempty"`
}

// Defaults apply to the whole fleet.
type Defaults struct {
	// Services lists the services that the backend servers provide.
	Services []Service `json:"services,omitempty"`
	// BackendServers lists the instances of every service.
	BackendServers []BackendServer `json:"backendServers,omitempty"`
	// Customers lists the customers that may send requests.
	Customers []Customer `json:"customers,omitempty"`
	// Limits are the resource limits of each process.
	Limits Limits `json:"limits"`
}

// ServiceKind is the kind of API that a service has.
type ServiceKind string

// The kinds of service.
const (
	// ModelService is a model engine with an OpenAI-compatible API.
	ModelService ServiceKind = "model"
	// PlainService is any other HTTP service.
	PlainService ServiceKind = "plain"
)

// Service is a set of backend servers that provide the same API.
type Service struct {
	// Name identifies the service.
	Name identifier.Service `json:"name"`
	// Kind is "model" or "plain".
	Kind ServiceKind `json:"kind"`
	// Version is the current version.
	Version identifier.Version `json:"version"`
	// FirstTokenTarget is the target for the 95th percentile of the time to the
	// first token, or to the response of a plain service.
	FirstTokenTarget Duration `json:"firstTokenTarget"`
	// BetweenTokensTarget is the target for the 95th percentile of the time
	// between tokens; 0 means no target.
	BetweenTokensTarget Duration `json:"betweenTokensTarget,omitempty"`
	// Deadline is the default deadline of a request that sets none.
	Deadline Duration `json:"deadline"`
	// NonIdempotentRoutes lists the routes whose requests may run at most once,
	// as in "POST /filings".
	NonIdempotentRoutes []identifier.Route `json:"nonIdempotentRoutes,omitempty"`
}

// BackendServer is one model engine or plain service instance.
type BackendServer struct {
	// Name identifies the backend server.
	Name identifier.BackendServer `json:"name"`
	// Service is the service that it provides.
	Service identifier.Service `json:"service"`
	// Version is the version it runs.
	Version identifier.Version `json:"version"`
	// FailureDomain is the failure domain that it runs in.
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	// Address is the IP address and port that it listens on, as in
	// "10.0.0.11:9000".
	Address string `json:"address"`
	// Concurrency is the number of requests that it can run concurrently.
	Concurrency int `json:"concurrency"`
	// Price is its cost per hour, in a currency that is the same for the whole
	// fleet.
	Price float64 `json:"price,omitempty"`
	// ChecksFencing reports whether it refuses orders with an old fencing
	// number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
}

// Customer is an organisation that sends requests.
type Customer struct {
	// Name identifies the customer.
	Name identifier.Customer `json:"name"`
	// KeyHashes lists the hashes of its keys.
	KeyHashes []KeyHash `json:"keyHashes"`
	// Weight is its relative weight in fair queueing; 0 means 1.
	Weight float64 `json:"weight,omitempty"`
	// RequestsPerSecond limits its request rate over the whole fleet; 0 means no
	// limit.
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty"`
	// TokensPerSecond limits the rate of tokens generated for it; 0 means no
	// limit.
	TokensPerSecond float64 `json:"tokensPerSecond,omitempty"`
}

// Limits are the resource limits of a process.
type Limits struct {
	// BodyBytes is the maximum size of a request body, in bytes.
	BodyBytes int64 `json:"bodyBytes"`
	// QueuedRequests is the maximum number of queued requests in each process.
	QueuedRequests int `json:"queuedRequests"`
	// RetryShare limits retries to this share of recent successful requests.
	RetryShare identifier.Share `json:"retryShare"`
	// ClaimHorizon is the retention time of an idempotency key.
	ClaimHorizon Duration `json:"claimHorizon"`
}

// LoadFleet decodes an accepted fleet document, which was validated strictly
// before it was proposed. It ignores fields that this version does not know,
// since a newer version may have accepted them, and validates the known fields.
func LoadFleet(b []byte) (*Fleet, error) {
	var f Fleet
	if err := json.Unmarshal(b, &f); err != nil {
		return nil, fmt.Errorf("accepted fleet document: %w: upgrade this host", err)
	}
	var fc faultCollector
	f.validate(&fc)
	if err := fc.err("accepted fleet document"); err != nil {
		return nil, err
	}
	return &f, nil
}

// DecodeFleet decodes and validates a fleet document from an operator. Unknown
// and repeated fields are faults. The error is a *FaultsError with all faults.
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
		// Every field of a validated document can be encoded.
		panic(fmt.Sprintf("fleet document: %v", err))
	}
	return append(b, '\n')
}

// Indent returns a fleet document indented for an operator to edit.
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

// IsNonIdempotent reports whether a request of route r may run at most once.
func (s *Service) IsNonIdempotent(r identifier.Route) bool {
	return slices.Contains(s.NonIdempotentRoutes, r)
}
