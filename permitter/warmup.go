package permitter

import (
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

const (
	// warmUpSoloShare is the part of its equal share of the limit of a cold server
	// that a host uses without a leader.
	warmUpSoloShare = 0.1
	// returnWait is how long after the last failed connection a server is expected
	// to come back. Hosts back off for up to 8 s, but not all at the same time.
	returnWait = 5 * time.Second
)

// WarmUpLimit returns the limit of cold servers of a service, so that what all
// hosts together send in any second stays within the tolerated rate and its
// tolerance. A server may get in one second what the limit allows for that
// second, the permits that were issued before, and the requests of hosts that
// have lost the leader.
func WarmUpLimit(w describer.WarmUp, t describer.Tolerance) identifier.RequestRate {
	allowed := float64(w.PerSecond)*(1+t.Overrun) + t.Slack
	safe := (allowed - burstRequests) / (1 + burstPeriod.Seconds() + warmUpSoloShare)
	return min(w.PerSecond, identifier.RequestRate(max(safe, 0)))
}

// WarmUp is the limit of a server that is cold, or may be.
type WarmUp struct {
	Limit identifier.RequestRate
	// Left is how much longer the server may be cold.
	Left time.Duration
}

// warmUp is what a process knows of the warm-up of a server. Its zero value means
// that the server is warm.
type warmUp struct {
	limit identifier.RequestRate
	until time.Time
	// length is how long a server is cold after its start, and failedAt when a
	// connection to it last failed. The server may have started since, unless
	// failedAt is zero.
	length   time.Duration
	failedAt time.Time
}

// extend sets the end of the warm-up if it is later than the known one, and
// reports whether the server counted as warm before. The end is never moved to an
// earlier time: a listing that lags may still show a server as it was before.
func (w *warmUp) extend(now time.Time, limit identifier.RequestRate, until time.Time) bool {
	if !until.After(w.until) || !until.After(now) {
		return false
	}
	wasWarm := !w.isCold(now)
	w.limit, w.until = limit, until
	return wasWarm
}

// isCold reports whether the server is cold or may be.
func (w *warmUp) isCold(now time.Time) bool { return now.Before(w.until) }

// renew extends the warm-up of a server that may start at any moment.
func (w *warmUp) renew(now time.Time) {
	switch {
	case w.failedAt.IsZero():
	case now.Sub(w.failedAt) > returnWait:
		w.failedAt = time.Time{}
	default:
		w.extend(now, w.limit, now.Add(w.length))
	}
}

// lower returns the lower one of a limit, which may be nil, and that of the
// warm-up, if the server is cold.
func (w *warmUp) lower(now time.Time, limit *identifier.RequestRate) *identifier.RequestRate {
	if !w.isCold(now) || limit != nil && *limit <= w.limit {
		return limit
	}
	return &w.limit
}

// left returns the warm-up for a message, or nil if the server is warm.
func (w *warmUp) left(now time.Time) *WarmUp {
	if !w.isCold(now) {
		return nil
	}
	return &WarmUp{Limit: w.limit, Left: w.until.Sub(now)}
}

// BeginWarmUp records that a server is cold until the given time, and reports
// whether that is news.
func (h *Holder) BeginWarmUp(now time.Time, s identifier.ServerRun, limit identifier.RequestRate, until time.Time) bool {
	if !now.Before(until) {
		return false
	}
	return h.state(s).warmUp.extend(now, limit, until)
}

// MayStart records that a connection to a server could not be opened. The server
// may start at any moment and is cold then for the given time, which no listing
// shows at once. The other hosts learn it with the next sync. It reports whether
// that is news.
func (h *Holder) MayStart(now time.Time, s identifier.ServerRun, limit identifier.RequestRate, length time.Duration) bool {
	w := &h.state(s).warmUp
	w.length, w.failedAt = length, now
	return w.extend(now, limit, now.Add(length))
}

// HasStarted records that a server has answered a call that was sent at the given
// time. If it may have started, it is cold for as long as one that starts now. An
// answer to a call that was sent before the last failed connection says nothing.
func (h *Holder) HasStarted(now time.Time, s identifier.ServerRun, sent time.Time) {
	k := h.servers[s]
	if k == nil || k.warmUp.failedAt.IsZero() || sent.Before(k.warmUp.failedAt) {
		return
	}
	k.warmUp.renew(now)
	k.warmUp.failedAt = time.Time{}
}

// ColdCount returns the number of servers that are cold or may be.
func (h *Holder) ColdCount(now time.Time) int {
	n := 0
	for _, s := range h.servers {
		if s.warmUp.isCold(now) {
			n++
		}
	}
	return n
}

// BeginWarmUp records that a server is cold until the given time, and reports
// whether that is news.
func (i *Issuer) BeginWarmUp(now time.Time, s identifier.ServerRun, limit identifier.RequestRate, until time.Time) bool {
	if !now.Before(until) {
		return false
	}
	b := i.servers[s]
	if b == nil {
		b = newBucket(now)
		i.servers[s] = b
	}
	b.begin(now)
	return b.warmUp.extend(now, limit, until)
}
