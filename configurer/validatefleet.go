package configurer

import (
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	"cyclamenhub.org/identifier"
)

// MaxClaimHorizon is the maximum of Limits.ClaimHorizon.
const MaxClaimHorizon = 30 * 24 * time.Hour

const (
	// maxConcurrency is the maximum of BackendServer.Concurrency, and maxFigure that of
	// prices, weights and rates. Sums of them over a fleet do not overflow.
	maxConcurrency = 1 << 20
	maxFigure      = 1e12
)

// methods lists the HTTP methods that a route may have.
var methods = []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// validate records every fault of f.
func (f *Fleet) validate(fc *faultCollector) {
	f.Defaults.validate(fc, "defaults")
	f.validateExceptions(fc)
}

// validate records every fault of d.
func (d *Defaults) validate(fc *faultCollector, path string) {
	validateList(fc, path+".services", d.Services, func(s *Service) string { return string(s.Name) },
		func(s *Service, at string) { s.validate(fc, at) })
	validateList(fc, path+".backendServers", d.BackendServers, func(b *BackendServer) string { return string(b.Name) },
		func(b *BackendServer, at string) { b.validate(fc, at, d) })
	validateList(fc, path+".customers", d.Customers, func(c *Customer) string { return string(c.Name) },
		func(c *Customer, at string) { c.validate(fc, at) })
	d.validateKeys(fc, path+".customers")
	d.Limits.validate(fc, path+".limits")
	d.validateClaimHorizon(fc, path+".limits.claimHorizon")
}

// validateClaimHorizon records services with non-idempotent routes whose default
// deadline is not shorter than the claim horizon. The claim of a request must
// outlive the request.
func (d *Defaults) validateClaimHorizon(fc *faultCollector, path string) {
	for _, s := range d.Services {
		if d.Limits.ClaimHorizon > 0 && s.Deadline >= d.Limits.ClaimHorizon && len(s.NonIdempotentRoutes) > 0 {
			fc.add(path, fmt.Sprintf("does not exceed the deadline of service %q", s.Name),
				"write a horizon longer than every deadline and every time after which callers may still retry")
		}
	}
}

// validateList records the faults of each element and the names that two
// elements share.
func validateList[T any](fc *faultCollector, path string, list []T, name func(*T) string, validate func(*T, string)) {
	seen := make(map[string]bool, len(list))
	for i := range list {
		at := fmt.Sprintf("%s[%d]", path, i)
		validate(&list[i], at)
		n := name(&list[i])
		if seen[n] && n != "" {
			fc.add(at+".name", fmt.Sprintf("%q is listed twice", n), "give each an own name")
		}
		seen[n] = true
	}
}

// validateKeys records keys that two customers share.
func (d *Defaults) validateKeys(fc *faultCollector, path string) {
	owner := make(map[KeyHash]identifier.Customer)
	for i, c := range d.Customers {
		for k, h := range c.KeyHashes {
			if first, ok := owner[h]; ok {
				fc.add(fmt.Sprintf("%s[%d].keyHashes[%d]", path, i, k),
					fmt.Sprintf("the key is customer %q's too", first), "give each customer own keys")
			}
			owner[h] = c.Name
		}
	}
}

// validate records the faults of one service.
func (s *Service) validate(fc *faultCollector, path string) {
	fc.addError(path+".name", s.Name.Check())
	fc.addError(path+".version", s.Version.Check())
	if s.Kind != ModelService && s.Kind != PlainService {
		fc.add(path+".kind", fmt.Sprintf("%q is no kind of service", s.Kind), `write "model" or "plain"`)
	}
	s.validateTimes(fc, path)
	for i, r := range s.NonIdempotentRoutes {
		validateRoute(fc, fmt.Sprintf("%s.nonIdempotentRoutes[%d]", path, i), r)
	}
}

// validateTimes records the faults of the latency targets and the deadline.
func (s *Service) validateTimes(fc *faultCollector, path string) {
	if s.FirstTokenTarget <= 0 {
		fc.add(path+".firstTokenTarget", "is missing or not positive", `write a duration, as in "740ms"`)
	}
	if s.BetweenTokensTarget < 0 {
		fc.add(path+".betweenTokensTarget", "is negative", `write a duration, as in "30ms", or leave it out`)
	}
	if s.Deadline <= 0 {
		fc.add(path+".deadline", "is missing or not positive", `write a duration, as in "30s"`)
	} else if s.Deadline < s.FirstTokenTarget {
		fc.add(path+".deadline", "ends before firstTokenTarget", "write a longer deadline or a shorter target")
	}
}

// validateRoute records a fault unless r is a method and a path.
func validateRoute(fc *faultCollector, path string, r identifier.Route) {
	method, pattern, _ := strings.Cut(string(r), " ")
	if !slices.Contains(methods, method) || !strings.HasPrefix(pattern, "/") || strings.ContainsAny(pattern, " ?#") {
		fc.add(path, fmt.Sprintf("%q is no route", r), `write a method and a path, as in "POST /filings"`)
	}
}

// validate records the faults of one backend server of d.
func (b *BackendServer) validate(fc *faultCollector, path string, d *Defaults) {
	fc.addError(path+".name", b.Name.Check())
	fc.addError(path+".version", b.Version.Check())
	fc.addError(path+".failureDomain", b.FailureDomain.Check())
	b.validateAddress(fc, path+".address")
	if _, ok := d.Service(b.Service); !ok {
		fc.add(path+".service", fmt.Sprintf("service %q is not in defaults.services", b.Service), "add it there or correct the name")
	}
	if b.Concurrency <= 0 {
		fc.add(path+".concurrency", "is missing or not positive", "write how many requests it runs side by side")
	}
	if b.Concurrency > maxConcurrency {
		fc.add(path+".concurrency", fmt.Sprintf("%d is too large", b.Concurrency), fmt.Sprintf("write at most %d", maxConcurrency))
	}
	validateNonNegative(fc, path+".price", b.Price)
}

// validateAddress records a fault unless the address is that of one host with a port.
func (b *BackendServer) validateAddress(fc *faultCollector, path string) {
	validateAddress(fc, path, b.Address)
	a, err := netip.ParseAddrPort(b.Address)
	if err == nil && (a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast()) {
		fc.add(path, fmt.Sprintf("%q is not the address of one process", b.Address), `write its IP and port, as in "10.0.0.11:9000"`)
	}
}

// validate records the faults of one customer.
func (c *Customer) validate(fc *faultCollector, path string) {
	fc.addError(path+".name", c.Name.Check())
	for i, h := range c.KeyHashes {
		fc.addError(fmt.Sprintf("%s.keyHashes[%d]", path, i), h.Check())
	}
	validateNonNegative(fc, path+".weight", c.Weight)
	validateNonNegative(fc, path+".requestsPerSecond", c.RequestsPerSecond)
	validateNonNegative(fc, path+".tokensPerSecond", c.TokensPerSecond)
}

// validateNonNegative records a fault if v is negative or larger than maxFigure.
func validateNonNegative(fc *faultCollector, path string, v float64) {
	if v < 0 {
		fc.add(path, fmt.Sprintf("%v is negative", v), "write a positive number, or leave it out")
	}
	if v > maxFigure {
		fc.add(path, fmt.Sprintf("%v is too large", v), fmt.Sprintf("write at most %v", float64(maxFigure)))
	}
}

// validate records the faults of the limits.
func (l *Limits) validate(fc *faultCollector, path string) {
	fc.addError(path+".retryShare", l.RetryShare.Check())
	if l.BodyBytes <= 0 {
		fc.add(path+".bodyBytes", "is missing or not positive", "write the largest body in bytes, as in 1048576")
	}
	if l.QueuedRequests <= 0 {
		fc.add(path+".queuedRequests", "is missing or not positive", "write the longest queue, as in 1000")
	}
	if l.ClaimHorizon > Duration(MaxClaimHorizon) {
		fc.add(path+".claimHorizon", "is too long", fmt.Sprintf("write at most %q", Duration(MaxClaimHorizon)))
	}
	if l.ClaimHorizon <= 0 {
		fc.add(path+".claimHorizon", "is missing or not positive", `write how long a key is remembered, as in "24h"`)
	}
}
