package matcher

import (
	"net"
	"slices"
	"strings"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

// Table indexes a Document for lookups. It is immutable.
type Table struct {
	revision  identifier.Revision
	routes    map[string][]*describer.Route // by host, in descending order of prefix length
	customers map[string]*describer.Customer
	services  map[identifier.Service]*describer.Service
	ranks     map[identifier.Service][]int
	document  *describer.Document
}

// NewTable returns the table of a document that Check has accepted. The table
// refers to the document, which must not be changed afterwards.
func NewTable(revision identifier.Revision, d *describer.Document) *Table {
	t := &Table{
		revision: revision, document: d,
		routes:    make(map[string][]*describer.Route),
		customers: make(map[string]*describer.Customer),
		services:  make(map[identifier.Service]*describer.Service, len(d.Services)),
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
	}
	for _, list := range t.routes {
		slices.SortFunc(list, func(a, b *describer.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range d.Customers {
		for _, k := range d.Customers[i].Keys {
			t.customers[k] = &d.Customers[i]
		}
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	t.ranks = ranksOf(d)
	return t
}

// Revision returns the revision of the document.
func (t *Table) Revision() identifier.Revision { return t.revision }

// Document returns the document, which must not be changed.
func (t *Table) Document() *describer.Document { return t.document }

// Route returns the route with the longest prefix of path on a host. The host
// may include a port.
func (t *Table) Route(host, path string) (*describer.Route, bool) {
	host = strings.ToLower(host)
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// PickService returns the service to which a call on r with the given hash is
// sent. For evenly distributed hashes, the services get calls in proportion to
// their weights.
func PickService(r *describer.Route, hash uint64) identifier.Service {
	var sum float64
	for _, d := range r.Split {
		sum += d.Weight
	}
	at := float64(hash>>11) / (1 << 53) * sum
	for _, d := range r.Split {
		if at < d.Weight {
			return d.Service
		}
		at -= d.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// HasCustomers reports whether the document lists customers. If not, calls need
// no key.
func (t *Table) HasCustomers() bool { return len(t.document.Customers) > 0 }

// Customer returns the customer to which a key belongs.
func (t *Table) Customer(key string) (*describer.Customer, bool) {
	c, ok := t.customers[key]
	return c, ok
}

// Service returns the service with the given name.
func (t *Table) Service(name identifier.Service) (*describer.Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Ranks returns the ranks that calls of a service may have, in ascending order.
func (t *Table) Ranks(s identifier.Service) []int { return t.ranks[s] }

// ranksOf returns the ranks of the calls of each service: those of its routes, and those
// of customers, which override them.
func ranksOf(d *describer.Document) map[identifier.Service][]int {
	var ofCustomers []int
	overridden := len(d.Customers) > 0
	for i := range d.Customers {
		if rank := d.Customers[i].Priority; rank != nil {
			ofCustomers = append(ofCustomers, *rank)
		} else {
			overridden = false
		}
	}
	out := make(map[identifier.Service][]int)
	for i := range d.Routes {
		r := &d.Routes[i]
		for _, to := range r.Split {
			if !overridden || r.Anonymous {
				out[to.Service] = append(out[to.Service], r.Priority)
			}
		}
	}
	for i := range d.Services {
		name := d.Services[i].Name
		list := slices.Concat(out[name], ofCustomers)
		slices.Sort(list)
		out[name] = slices.Compact(list)
	}
	return out
}
