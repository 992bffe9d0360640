package dispatcher

import (
	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
)

// Table is what traffic reads of one revision of the fleet document. It never
// changes once it is published.
type Table struct {
	services  map[identifier.Service]*configurer.Service
	models    []identifier.Service
	servers   map[identifier.Service][]configurer.BackendServer
	customers map[configurer.KeyHash]*configurer.Customer
	all       []configurer.Customer
	once      map[identifier.Service][]routePattern
	limits    configurer.Limits
}

// NewTable returns the table of a fleet document.
func NewTable(f *configurer.Fleet) *Table {
	t := &Table{
		services:  make(map[identifier.Service]*configurer.Service),
		servers:   make(map[identifier.Service][]configurer.BackendServer),
		customers: make(map[configurer.KeyHash]*configurer.Customer),
		all:       f.Defaults.Customers,
		once:      make(map[identifier.Service][]routePattern),
		limits:    f.Defaults.Limits,
	}
	for _, s := range f.Defaults.Services {
		t.services[s.Name] = &s
		for _, r := range s.NonIdempotentRoutes {
			t.once[s.Name] = append(t.once[s.Name], newRoutePattern(r))
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

// Service returns the service with that name.
func (t *Table) Service(name identifier.Service) (*configurer.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// IsNonIdempotent reports whether a call of a service may run at most once.
func (t *Table) IsNonIdempotent(s identifier.Service, r identifier.Route) bool {
	for _, p := range t.once[s] {
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

// Customer returns whose key has the hash of key. Its cost does not grow with
// the number of customers; the index holds hashes, and the entry that it finds
// is compared in constant time.
func (t *Table) Customer(key string) (*configurer.Customer, bool) {
	h := configurer.HashKey(key)
	c, ok := t.customers[h]
	if !ok {
		return nil, false
	}
	for _, own := range c.KeyHashes {
		if own.Matches(key) {
			return c, true
		}
	}
	return nil, false
}

// CustomerNames returns the names of all customers, in the document's order.
func (t *Table) CustomerNames() []identifier.Customer {
	names := make([]identifier.Customer, len(t.all))
	for i, c := range t.all {
		names[i] = c.Name
	}
	return names
}

// Limits returns the bounds of a process.
func (t *Table) Limits() configurer.Limits { return t.limits }
