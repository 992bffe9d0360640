package scaler

import (
	"fmt"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
)

// Interval is the time between two plans.
const Interval = 500 * time.Millisecond

const (
	// retryAfter is the time after which an order is sent again if the listing
	// does not show its effect.
	retryAfter = 5 * time.Second
	// unavailableBackoff is how long no reclaimable servers are ordered in a
	// domain that had none available.
	unavailableBackoff = 2 * time.Second
	// fullPriceScaleDownDelay is how long servers at the full price are kept
	// after they are no longer needed.
	fullPriceScaleDownDelay = 2 * time.Second
	// minFullPrice is the minimum number of servers at the full price.
	minFullPrice = 1
	// minReclaimablePerDomain is the minimum number of reclaimable servers in
	// each domain. After a reclaim none may be available in any domain for some
	// time, so the servers left must suffice.
	minReclaimablePerDomain = 2
	// dryHold is how long after reclaimable servers were not available in some domain
	// none are released: they could not be had again.
	dryHold = 10 * time.Second
	// reclaimableScaleDownDelay is how long reclaimable servers are kept after
	// they are no longer needed. It exceeds the period of usual load
	// fluctuations.
	reclaimableScaleDownDelay = 15 * time.Second
)

// Place identifies a group of backend servers whose number an Order sets: those
// of a service in a failure domain, either reclaimable or at the full price.
type Place struct {
	Service       identifier.Service
	FailureDomain identifier.FailureDomain
	Reclaimable   bool
}

// Order sets the number of backend servers of a place.
type Order struct {
	Place
	Count int
	// Candidates is the part of Count that has the version to which a rollout
	// moves the service.
	Candidates int
	// Why describes the inputs of the decision, for the log.
	Why string
}

// lastOrder is the last order for a place.
type lastOrder struct {
	// count is the number ordered, without the candidates of a rollout.
	count int
	at    time.Time
	// accepted is whether the platform accepted the order.
	accepted bool
}

// Scaler plans the orders while its process holds the scaling duty. It is not
// safe for concurrent use.
type Scaler struct {
	last map[Place]lastOrder
	// surplus maps a place to the time since when it has had more servers than
	// needed.
	surplus map[Place]time.Time
	demand  map[identifier.Service]*demand
	initial map[identifier.Service]*initialServers
	// firstStart is whether the system starts for the first time and has served
	// nothing yet.
	firstStart bool
	// dryUntil is until when no reclaimable servers of a service are released.
	dryUntil map[identifier.Service]time.Time
	// evacuated are the failure domains in which nothing is ordered.
	evacuated []identifier.FailureDomain
}

// New returns a Scaler without earlier orders. With firstStart the system
// starts for the first time, so that no calls are running.
func New(firstStart bool) *Scaler {
	return &Scaler{firstStart: firstStart, last: make(map[Place]lastOrder), surplus: make(map[Place]time.Time), initial: make(map[identifier.Service]*initialServers), demand: make(map[identifier.Service]*demand), dryUntil: make(map[identifier.Service]time.Time)}
}

// SetEvacuated sets the failure domains whose servers get no new calls. Nothing is
// ordered there and nothing released, since they will be used again; what they carried
// is ordered in the others.
func (s *Scaler) SetEvacuated(domains []identifier.FailureDomain) { s.evacuated = domains }

// Candidate is the version to which the last rollout of a service moves it, or
// from which it was moved back.
type Candidate struct {
	Version identifier.Version
	// StartedAt is when the rollout was started, or zero if it has ended.
	StartedAt time.Time
}

// Candidates are the candidates of services.
type Candidates map[identifier.Service]Candidate

// candidateListingLag is how long after its start a server of a rollout may be
// missing in the listing.
const candidateListingLag = 2 * time.Second

// isAwaited reports whether servers of the candidate may be starting that are
// not listed yet.
func (c Candidate) isAwaited(now time.Time, bootTime time.Duration) bool {
	return !c.StartedAt.IsZero() && now.Sub(c.StartedAt) < bootTime+candidateListingLag
}

// Load is the load of a service.
type Load struct {
	// Calls is the number of running calls, LimitedCalls the part of it at the
	// servers in Limited.
	Calls, LimitedCalls int
	// Limited are the servers that have announced a limit of requests.
	Limited map[identifier.BackendServer]bool
	// Refused is whether calls were recently refused because of these limits.
	Refused bool
	// Work is the number of servers that would be busy all the time with the prompts
	// of the calls that arrive, 0 if it is not known.
	Work float64
}

// unlimitedWork returns the part of the work that servers without limits do.
func (l Load) unlimitedWork() float64 {
	if l.Calls == 0 {
		return l.Work
	}
	return l.Work * float64(max(l.Calls-l.LimitedCalls, 0)) / float64(l.Calls)
}

// Plan returns the orders that are due under the loads of the services.
//
// Servers that have announced limits are planned apart: they run what they run,
// and the others have to carry the rest. Refused calls do not run, so that the
// number of running calls understates the load; while calls are refused, the
// recent peak of the load stands.
//
// The platform starts the servers of a rollout beside those in use, and counts
// them in the places of the service. They are no surplus: releasing as many
// would take the new version its servers before any traffic has moved. While
// they are listed, no server of the service is released, and an order for more
// adds them to its count. Between the start of the rollout and their listing
// their number is not known, and nothing is ordered for the service.
func (s *Scaler) Plan(now time.Time, services []describer.Service, l *discoverer.Listing, loads map[identifier.Service]Load, candidates Candidates) []Order {
	var out []Order
	for i := range services {
		if c := services[i].Scaling; c != nil {
			name := services[i].Name
			load := loads[name]
			candidate := candidates[name]
			counts := s.withoutEvacuated(listed(name, l, candidate.Version, load.Limited))
			ready := readyServers(counts)
			if !s.observeInitial(now, name, ready) {
				continue
			}
			have := s.capacityOf(name, s.domainsByPrice(c), counts)
			needed := s.needed(now, name, load, ready, slotsOf(&services[i]))
			s.observeReclaims(now, name, have)
			if !have.hasCandidates && candidate.isAwaited(now, c.BootTime) {
				continue
			}
			out = append(out, s.plan(now, name, c, have, needed)...)
		}
	}
	return out
}

// plan returns the orders for a service that needs the given number of servers.
func (s *Scaler) plan(now time.Time, service identifier.Service, c *describer.Scaling, have capacity, needed need) []Order {
	domains := have.domains
	// assured is the number of ready reclaimable servers that the plan relies on.
	assured := have.reclaimable
	if have.availableDomains < len(domains) {
		// No replacements would be available for the servers lost in the next
		// reclaim.
		assured -= have.largestDomain
	}
	why := fmt.Sprintf("%d needed, %d of them at any price, %d reclaimable ready, %d domains with reclaimable servers available, %d reclaimable assumed to stay, %d at the full price",
		needed.comfortable, needed.required, have.reclaimable, have.availableDomains, assured, have.full)
	reclaimable := reclaimablePerDomain(domains, needed.comfortable, have.roomFor(service, c.Max-minFullPrice))
	room := make(map[identifier.FailureDomain]int, len(domains))
	for _, d := range domains {
		p := Place{service, d, true}
		reclaimable[d] += have.counts[p].limited
		room[d] = c.Max - max(s.reserved(p, reclaimable[d]), have.counts[p].ready) - have.counts[Place{service, d, false}].limited
	}
	wanted := spread(domains, max(minFullPrice, needed.required-assured), room)
	for _, d := range domains {
		wanted[d] += have.counts[Place{service, d, false}].limited
	}
	kept := needed.required
	if have.availableDomains < len(domains) {
		kept = needed.comfortable // Servers that are released could not be replaced by reclaimable ones.
	}
	wanted = s.keepUntilReplaced(service, have, wanted, kept-assured)
	var out []Order
	add := func(p Place, want int) {
		n := have.counts[p]
		if n.limited > 0 {
			want = max(want, n.ready) // The platform might release one without a limit.
		}
		if have.hasCandidates {
			want = s.besideCandidates(now, p, want, c.Max, have.counts)
		}
		if o, due := s.due(now, p, s.delayScaleDown(now, p, want, n), n, why); due {
			o.Count, o.Candidates = o.Count+n.candidates, n.candidates
			out = append(out, o)
		}
	}
	for _, d := range domains {
		full := Place{service, d, false}
		add(Place{service, d, true}, min(reclaimable[d], c.Max-s.provisioned(now, full, have.counts[full])))
		add(full, wanted[d])
	}
	return out
}

// provisioned returns the number of servers of a place, including those that are
// starting. For some time after an order those that it released are listed and do not
// count: they would be ordered again.
func (s *Scaler) provisioned(now time.Time, p Place, n count) int {
	last := s.last[p]
	switch {
	case !last.accepted:
		return n.ready
	case now.Sub(last.at) < retryAfter:
		return last.count
	default:
		return max(n.ready, last.count)
	}
}

// reserved returns how much of the limit of a domain is reserved for
// reclaimable servers: the number wanted, or 0 if none is available there now.
func (s *Scaler) reserved(p Place, want int) int {
	if last, ok := s.last[p]; ok && !last.accepted {
		return 0
	}
	return want
}

// due returns the order that brings a place to want, and whether to send it
// now.
func (s *Scaler) due(now time.Time, p Place, want int, n count, why string) (Order, bool) {
	last, exists := s.last[p]
	age := now.Sub(last.at)
	switch {
	case !exists && n.ready == want:
		return Order{}, false
	case exists && last.accepted && last.count == want && (n.ready == want || age < retryAfter):
		return Order{}, false
	case exists && !last.accepted && age < unavailableBackoff:
		return Order{}, false
	default:
		return Order{Place: p, Count: want, Why: why}, true
	}
}

// RecordResult records the result of an order: whether the platform accepted it
// or had no servers available. An order that failed for another reason is not
// recorded, so that it stays due.
func (s *Scaler) RecordResult(now time.Time, o Order, accepted, unavailable bool) {
	if accepted || unavailable {
		s.last[o.Place] = lastOrder{count: o.Count - o.Candidates, at: now, accepted: accepted}
	}
}
