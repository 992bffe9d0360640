package dispatcher

import (
	"slices"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
)

// Table is the routing table: the part of one revision of the fleet document
// that requests read. It is immutable once it is published.
type Table struct {
	services      map[identifier.Service]*configurer.Service
	models        []identifier.Service
	servers       map[identifier.Service][]configurer.BackendServer
	customers     map[configurer.KeyHash]*configurer.Customer
	customerList  []configurer.Customer
	nonIdempotent map[identifier.Service][]routePattern
	limits        configurer.Limits
	// evacuated are the failure domains whose servers get no new attempts.
	evacuated []identifier.FailureDomain
}

// NewTable returns the table of a fleet document.
func NewTable(f *configurer.Fleet) *Table {
	t := &Table{
		services:      make(map[identifier.Service]*configurer.Service),
		servers:       make(map[identifier.Service][]configurer.BackendServer),
		customers:     make(map[configurer.KeyHash]*configurer.Customer),
		customerList:  f.Defaults.Customers,
		nonIdempotent: make(map[identifier.Service][]routePattern),
		limits:        f.Defaults.Limits,
	}
	for _, s := range f.Defaults.Services {
		t.services[s.Name] = &s
		for _, r := range s.NonIdempotentRoutes {
			t.nonIdempotent[s.Name] = append(t.nonIdempotent[s.Name], newRoutePattern(r))
		}
		if s.Kind == configurer.ModelService {
			t.models = append(t.models, s.Name)
		}
	}
	for _, b := range f.Defaults.BackendServers {
		t.servers[b.Service] = append(t.servers[b.Service], b)
	}
	for _, c := range f.Defaults.Customers {
		for _, h := range c.KeyHashes {
			t.customers[h] = &c
		}
	}
	return t
}

// WithEvacuated returns a copy of t with other evacuated failure domains, whose
// servers get no new attempts.
func (t *Table) WithEvacuated(domains []identifier.FailureDomain) *Table {
	c := *t
	c.evacuated = domains
	return &c
}

// isEvacuated reports whether the servers of a failure domain get no new attempts.
func (t *Table) isEvacuated(d identifier.FailureDomain) bool { return slices.Contains(t.evacuated, d) }

// Service returns the service with that name.
func (t *Table) Service(name identifier.Service) (*configurer.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// IsNonIdempotent reports whether a call of a service may run at most once.
func (t *Table) IsNonIdempotent(s identifier.Service, r identifier.Route) bool {
	for _, p := range t.nonIdempotent[s] {
		if p.matches(r) {
			return true
		}
	}
	return false
}

// Models returns the names of the model services, in the document's order.
func (t *Table) Models() []identifier.Service { return t.models }

// BackendServers returns the servers of a service, in the document's order.
func (t *Table) BackendServers(name identifier.Service) []configurer.BackendServer {
	return t.servers[name]
}

// Customer returns the customer that key belongs to. Its cost does not grow
// with the number of customers: the index is keyed by hash, and the entry found
// is compared in constant time.
func (t *Table) Customer(key string) (*configurer.Customer, bool) {
	h := configurer.HashKey(key)
	c, ok := t.customers[h]
	if !ok {
		return nil, false
	}
	for _, hash := range c.KeyHashes {
		if hash.Matches(key) {
			return c, true
		}
	}
	return nil, false
}

// CustomerNames returns the names of all customers, in the document's order.
func (t *Table) CustomerNames() []identifier.Customer {
	names := make([]identifier.Customer, len(t.customerList))
	for i, c := range t.customerList {
		names[i] = c.Name
	}
	return names
}

// Limits returns the limits of a process.
func (t *Table) Limits() configurer.Limits { return t.limits }
