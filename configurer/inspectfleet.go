package configurer

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"cyclamenhub.org/identifier"
)

// MaxClaimHorizon bounds how long an idempotency key is remembered.
const MaxClaimHorizon = 30 * 24 * time.Hour

// methods lists the HTTP methods that a route may have.
var methods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// inspect records every fault of f.
func (f *Fleet) inspect(in *inspector) {
	f.Defaults.inspect(in, "defaults")
	f.inspectExceptions(in)
}

// inspect records every fault of d.
func (d *Defaults) inspect(in *inspector, path string) {
	inspectList(in, path+".services", d.Services, func(s *Service) string { return string(s.Name) },
		func(s *Service, at string) { s.inspect(in, at) })
	inspectList(in, path+".backendServers", d.BackendServers, func(b *BackendServer) string { return string(b.Name) },
		func(b *BackendServer, at string) { b.inspect(in, at, d) })
	inspectList(in, path+".customers", d.Customers, func(c *Customer) string { return string(c.Name) },
		func(c *Customer, at string) { c.inspect(in, at) })
	d.inspectKeys(in, path+".customers")
	d.Limits.inspect(in, path+".limits")
	d.inspectHorizon(in, path+".limits.claimHorizon")
}

// inspectHorizon records services whose calls may run for as long as their
// claims are held.
func (d *Defaults) inspectHorizon(in *inspector, path string) {
	for _, s := range d.Services {
		if d.Limits.ClaimHorizon > 0 && s.Deadline >= d.Limits.ClaimHorizon && len(s.NonIdempotentRoutes) > 0 {
			in.add(path, fmt.Sprintf("does not exceed the deadline of service %q", s.Name),
				"write a horizon longer than every deadline and every time after which callers may still retry")
		}
	}
}

// inspectList records the faults of each element and the names that stand
// twice.
func inspectList[T any](in *inspector, path string, list []T, name func(*T) string, inspect func(*T, string)) {
	seen := make(map[string]bool, len(list))
	for i := range list {
		at := fmt.Sprintf("%s[%d]", path, i)
		inspect(&list[i], at)
		n := name(&list[i])
		if seen[n] && n != "" {
			in.add(at+".name", fmt.Sprintf("%q is listed twice", n), "give each an own name")
		}
		seen[n] = true
	}
}

// inspectKeys records keys that let in two customers.
func (d *Defaults) inspectKeys(in *inspector, path string) {
	owner := make(map[KeyHash]identifier.Customer)
	for i, c := range d.Customers {
		for k, h := range c.KeyHashes {
			if first, ok := owner[h]; ok {
				in.add(fmt.Sprintf("%s[%d].keyHashes[%d]", path, i, k),
					fmt.Sprintf("the key is customer %q's too", first), "give each customer own keys")
			}
			owner[h] = c.Name
		}
	}
}

// inspect records the faults of one service.
func (s *Service) inspect(in *inspector, path string) {
	in.check(path+".name", s.Name.Check())
	in.check(path+".version", s.Version.Check())
	if s.Kind != ModelService && s.Kind != PlainService {
		in.add(path+".kind", fmt.Sprintf("%q is no kind of service", s.Kind), `write "model" or "plain"`)
	}
	s.inspectTimes(in, path)
	for i, r := range s.NonIdempotentRoutes {
		inspectRoute(in, fmt.Sprintf("%s.nonIdempotentRoutes[%d]", path, i), r)
	}
}

// inspectTimes records the faults of the latency targets and the deadline.
func (s *Service) inspectTimes(in *inspector, path string) {
	if s.FirstTokenTarget <= 0 {
		in.add(path+".firstTokenTarget", "is missing or not positive", `write a duration, as in "740ms"`)
	}
	if s.BetweenTokensTarget < 0 {
		in.add(path+".betweenTokensTarget", "is negative", `write a duration, as in "30ms", or leave it out`)
	}
	if s.Deadline <= 0 {
		in.add(path+".deadline", "is missing or not positive", `write a duration, as in "30s"`)
	} else if s.Deadline < s.FirstTokenTarget {
		in.add(path+".deadline", "ends before firstTokenTarget", "write a longer deadline or a shorter target")
	}
}

// inspectRoute records a fault unless r is a method and a path.
func inspectRoute(in *inspector, path string, r identifier.Route) {
	method, pattern, _ := strings.Cut(string(r), " ")
	if !slices.Contains(methods, method) || !strings.HasPrefix(pattern, "/") || strings.ContainsAny(pattern, " ?#") {
		in.add(path, fmt.Sprintf("%q is no route", r), `write a method and a path, as in "POST /filings"`)
	}
}

// inspect records the faults of one backend server of d.
func (b *BackendServer) inspect(in *inspector, path string, d *Defaults) {
	in.check(path+".name", b.Name.Check())
	in.check(path+".version", b.Version.Check())
	in.check(path+".failureDomain", b.FailureDomain.Check())
	inspectAddress(in, path+".address", b.Address)
	if _, ok := d.Service(b.Service); !ok {
		in.add(path+".service", fmt.Sprintf("service %q is not in defaults.services", b.Service), "add it there or correct the name")
	}
	if b.Concurrency <= 0 {
		in.add(path+".concurrency", "is missing or not positive", "write how many requests it runs side by side")
	}
	inspectRate(in, path+".price", b.Price)
}

// inspect records the faults of one customer.
func (c *Customer) inspect(in *inspector, path string) {
	in.check(path+".name", c.Name.Check())
	for i, h := range c.KeyHashes {
		in.check(fmt.Sprintf("%s.keyHashes[%d]", path, i), h.Check())
	}
	inspectRate(in, path+".weight", c.Weight)
	inspectRate(in, path+".requestsPerSecond", c.RequestsPerSecond)
	inspectRate(in, path+".tokensPerSecond", c.TokensPerSecond)
}

// inspectRate records a fault where a price, weight or rate is negative.
func inspectRate(in *inspector, path string, v float64) {
	if v < 0 {
		in.add(path, fmt.Sprintf("%v is negative", v), "write a positive number, or leave it out")
	}
}

// inspect records the faults of the limits.
func (l *Limits) inspect(in *inspector, path string) {
	in.check(path+".retryShare", l.RetryShare.Check())
	if l.BodyBytes <= 0 {
		in.add(path+".bodyBytes", "is missing or not positive", "write the largest body in bytes, as in 1048576")
	}
	if l.QueuedRequests <= 0 {
		in.add(path+".queuedRequests", "is missing or not positive", "write the longest queue, as in 1000")
	}
	if l.ClaimHorizon > Duration(MaxClaimHorizon) {
		in.add(path+".claimHorizon", "is too long", fmt.Sprintf("write at most %q", Duration(MaxClaimHorizon)))
	}
	if l.ClaimHorizon <= 0 {
		in.add(path+".claimHorizon", "is missing or not positive", `write how long a key is remembered, as in "24h"`)
	}
}
