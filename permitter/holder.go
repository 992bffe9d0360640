package permitter

import (
	"math/rand/v2"
	"time"

	"cyclamenhub.org/announcer"
	"cyclamenhub.org/identifier"
)

const (
	// soloAfter is the age of the last grant from which on a host sends requests
	// without permits.
	soloAfter = 3 * time.Second
	// soloShare is the part of its equal share of a limit that a host uses then.
	// The other hosts may still get permits for the whole limit.
	soloShare = 0.5
)

// Holder holds the permits of one entry host.
type Holder struct {
	random  *rand.Rand
	servers map[identifier.ServerRun]*held
	grant   GrantID
	// reportedAt is when the last report was made, appliedAt when that of the last
	// grant was, or the first report without any grant.
	reportedAt, appliedAt time.Time
	fleet                 Fleet
}

// NewHolder returns a Holder that knows no limits.
func NewHolder(random *rand.Rand) *Holder {
	return &Holder{random: random, servers: make(map[identifier.ServerRun]*held)}
}

// held is the state of a server of which a notice is known, or that is cold.
type held struct {
	// known is the newest observation, also of other hosts. own is the last one of
	// this host; its time is zero if there is none.
	known, own announcer.Observation
	// warmUp is that of a server that is cold or may be.
	warmUp warmUp
	// permits can be spent before expires.
	permits int
	expires time.Time
	service identifier.Service
	// needed and wanted count calls for the next report, spent the permits of the
	// last grant.
	needed, wanted, spent int
	// askAt is when the leader may be asked for a permit again after it had none,
	// returnAt when a call that got none may come back.
	askAt, returnAt time.Time
	// soloAt is when the next request without a permit may be sent if the leader
	// is lost; zero means not drawn yet.
	soloAt time.Time
	// confirmation is that of the known limit.
	confirmation announcer.Confirmation
}

// limit returns the limit of the server, or nil if it has none.
func (h *held) limit(now time.Time) *identifier.RequestRate {
	return h.warmUp.lower(now, h.known.Rate)
}

// isLimited reports whether requests to the server need permits.
func (h *held) isLimited(now time.Time) bool { return h != nil && h.limit(now) != nil }

// hasNotice reports whether the server is known to announce a limit.
func (h *held) hasNotice() bool { return h != nil && h.known.Rate != nil }

// state returns the state of a server, adding an empty one if there is none.
func (h *Holder) state(s identifier.ServerRun) *held {
	k := h.servers[s]
	if k == nil {
		k = &held{}
		h.servers[s] = k
	}
	return k
}

// Record records what a response of a server said about its limit. It returns
// the limit known before and whether the known limit has changed.
func (h *Holder) Record(now time.Time, s identifier.ServerRun, limit *identifier.RequestRate) (before *identifier.RequestRate, changed bool) {
	if limit == nil && !h.servers[s].hasNotice() {
		return nil, false
	}
	k := h.state(s)
	o := announcer.Observation{Rate: limit, At: now}
	if o.Supersedes(k.own) {
		k.own = o
	}
	return k.merge(o)
}

// merge merges an observation.
func (h *held) merge(o announcer.Observation) (before *identifier.RequestRate, changed bool) {
	before = h.known.Rate
	if !o.Supersedes(h.known) {
		return before, false
	}
	h.known = o
	if equal(before, o.Rate) {
		return before, false
	}
	h.soloAt = time.Time{}
	if !equal(h.own.Rate, o.Rate) {
		h.own = announcer.Observation{} // Another host has seen a newer response.
	}
	return before, true
}

// equal reports whether two limits are the same.
func equal(a, b *identifier.RequestRate) bool {
	if a == nil || b == nil {
		return a == b
	}
	return *a == *b
}

// LimitedCount returns the number of servers that announce a limit.
func (h *Holder) LimitedCount() int {
	n := 0
	for _, s := range h.servers {
		if s.hasNotice() {
			n++
		}
	}
	return n
}

// Retain forgets all servers but those for which keep returns true.
func (h *Holder) Retain(keep func(identifier.ServerRun) bool) {
	for s := range h.servers {
		if !keep(s) {
			delete(h.servers, s)
		}
	}
}

// Available reports whether a request may be sent to a server now.
func (h *Holder) Available(now time.Time, s identifier.ServerRun) bool {
	k := h.servers[s]
	if !k.isLimited(now) || k.permits > 0 && now.Before(k.expires) {
		return true
	}
	return h.isSolo(now) && h.soloTime(now, k) <= 0
}

// isSolo reports whether the leader has been lost for soloAfter. A host that has
// just started waits for its first grant.
func (h *Holder) isSolo(now time.Time) bool {
	return !h.appliedAt.IsZero() && now.Sub(h.appliedAt) > soloAfter
}

// soloTime returns the time until a request may be sent without a permit. The
// first such request is sent at a random time, since all hosts may have lost the
// leader together.
func (h *Holder) soloTime(now time.Time, k *held) time.Duration {
	if k.soloAt.IsZero() {
		k.soloAt = now.Add(time.Duration(h.random.Float64() * float64(h.soloInterval(now, k))))
	}
	return k.soloAt.Sub(now)
}

// soloInterval returns the time between two requests without permits.
func (h *Holder) soloInterval(now time.Time, k *held) time.Duration {
	share := soloShare
	if k.warmUp.isCold(now) {
		share = warmUpSoloShare
	}
	perSecond := share * float64(*k.limit(now)) / float64(max(h.fleet.Hosts, 1))
	if perSecond*maxSoloInterval.Seconds() < 1 {
		return maxSoloInterval
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// maxSoloInterval caps the time between two requests without permits. They also
// find out whether a limit of 0 still stands.
const maxSoloInterval = 10 * time.Minute

// Want counts a call that would have been sent to a server with a permit.
func (h *Holder) Want(now time.Time, s identifier.ServerRun) {
	if k := h.servers[s]; k.isLimited(now) {
		k.wanted++
	}
}

// Need counts a call that waits for a permit of one of the servers, all of a
// service. If the leader recently had none, it counts nothing and returns false.
func (h *Holder) Need(now time.Time, service identifier.Service, servers []identifier.ServerRun) bool {
	for _, s := range servers {
		if k := h.servers[s]; k.isLimited(now) && now.Before(k.askAt) {
			return false
		}
	}
	for _, s := range servers {
		if k := h.servers[s]; k.isLimited(now) {
			k.service = service
			k.needed++
		}
	}
	return true
}

// HasNeeds reports whether calls wait for the next report.
func (h *Holder) HasNeeds() bool {
	for _, k := range h.servers {
		if k.needed > 0 {
			return true
		}
	}
	return false
}

// Spend spends a permit, which Available has reported. It returns the grant of
// the permit, for Refund.
func (h *Holder) Spend(now time.Time, s identifier.ServerRun) GrantID {
	k := h.servers[s]
	switch {
	case !k.isLimited(now):
		return 0
	case k.permits > 0 && now.Before(k.expires):
		k.permits--
		k.spent++
		return h.grant
	}
	k.soloAt = now.Add(h.soloInterval(now, k))
	return 0
}

// Refund gives back a permit of a request that certainly did not reach the
// server. A permit of an earlier grant has been reported as spent and is lost.
func (h *Holder) Refund(s identifier.ServerRun, g GrantID) {
	if k := h.servers[s]; k != nil && g != 0 && g == h.grant && k.spent > 0 {
		k.permits++
		k.spent--
	}
}

// Wait returns the time after which a call that can only be sent to a server
// with a limit may come back, 0 if that is not known.
func (h *Holder) Wait(now time.Time, s identifier.ServerRun) time.Duration {
	k := h.servers[s]
	if !k.isLimited(now) {
		return 0
	}
	if h.isSolo(now) {
		return max(h.soloTime(now, k), 0)
	}
	return max(k.returnAt.Sub(now), 0)
}

// Report returns the report for the next sync and drops all permits. If the
// report does not arrive, the next one contains the spent permits again.
func (h *Holder) Report(now time.Time) Report {
	h.reportedAt = now
	if h.appliedAt.IsZero() {
		h.appliedAt = now
	}
	r := Report{Grant: h.grant, Servers: make(map[identifier.ServerRun]ServerReport, len(h.servers))}
	for s, k := range h.servers {
		k.warmUp.renew(now)
		if !k.isLimited(now) && now.Sub(k.known.At) > forgetAfter {
			delete(h.servers, s)
			continue
		}
		r.Servers[s] = ServerReport{
			Notice: k.ownNotice(now), Told: k.toldNotice(now), WarmUp: k.ownWarmUp(now),
			Service: k.service, Needed: k.needed, Wanted: k.wanted, Spent: k.spent,
		}
		k.permits, k.needed, k.wanted = 0, 0, 0
	}
	return r
}

// ownNotice returns the last observation of this host as a notice, or nil.
func (h *held) ownNotice(now time.Time) *announcer.Notice {
	if h.own.At.IsZero() {
		return nil
	}
	n := h.own.Notice(now)
	return &n
}

// toldNotice returns what this host knows of a limit beyond its own observations, or nil.
func (h *held) toldNotice(now time.Time) *announcer.Notice {
	if !h.known.IsTold(h.own) {
		return nil
	}
	n := h.known.Notice(now)
	return &n
}

// ownWarmUp returns the warm-up of a server that may start, as far as this host
// has found it out itself, or nil.
func (h *held) ownWarmUp(now time.Time) *WarmUp {
	if h.warmUp.failedAt.IsZero() {
		return nil
	}
	return h.warmUp.left(now)
}

// Fleet describes the fleet of a host.
type Fleet struct {
	// Hosts is the number of entry hosts, SyncPeriod the time between two regular
	// syncs of each of them.
	Hosts      int
	SyncPeriod time.Duration
}

// SetFleet sets the fleet.
func (h *Holder) SetFleet(f Fleet) { h.fleet = f }

// Apply applies the grant that responds to the last report. The ages in it count
// from when the report was made, so that no notice looks newer than it is, and the
// warm-ups from now on, so that none ends too early.
func (h *Holder) Apply(now time.Time, g Grant) {
	h.grant, h.appliedAt = g.ID, h.reportedAt
	h.forgetUnconfirmed(now, g)
	for s, sg := range g.Servers {
		k := h.state(s)
		k.merge(sg.Notice.AsOf(h.reportedAt))
		if w := sg.WarmUp; w != nil {
			k.warmUp.extend(now, w.Limit, now.Add(w.Left))
		}
		k.permits, k.spent, k.expires = sg.Permits, 0, h.reportedAt.Add(permitTTL)
		k.soloAt = time.Time{}
		if sg.Wait > 0 {
			k.askAt, k.returnAt = h.reportedAt.Add(h.fleet.SyncPeriod), h.reportedAt.Add(sg.Wait)
		}
	}
}

// forgetUnconfirmed forgets the limits that the leader does not confirm, though it has this
// host's reports: without its permits no call would be sent there, so that no answer could
// say that the limit has ended.
func (h *Holder) forgetUnconfirmed(now time.Time, g Grant) {
	for s, k := range h.servers {
		isConfirmed := g.Servers[s].Notice.Rate != nil || !k.hasNotice()
		if k.confirmation.IsOverdue(now, isConfirmed) {
			k.known, k.confirmation = announcer.Observation{}, announcer.Confirmation{}
		}
	}
}
