package dispatcher

import (
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/roller"
)

// Load is the load of a service on this host at the time a version is picked.
type Load struct {
	// InFlight is the number of in-flight requests: sent and not answered.
	InFlight int
	// Capacity is the maximum of InFlight.
	Capacity int
}

// VersionPicker picks the version that a request is sent to. again is true if
// the request made no progress on a version that was picked earlier.
type VersionPicker func(r *Request, l Load, again bool) VersionPick

// VersionPick is the version picked for a request.
type VersionPick interface {
	// Version returns the version, or "" for any.
	Version() identifier.Version
	// Ended reports the result of the request on that version. It is called
	// exactly once for each VersionPick.
	Ended(r VersionResult)
}

// VersionResult is the result of a request on the version picked for it. Its
// outcome is that of the first attempt that did not fail on a stale connection.
type VersionResult struct {
	Outcome Outcome
	// Evidence is what the outcome says about the version.
	Evidence roller.Outcome
	// Latency is the time from the first send to the first byte. For a
	// generation it also includes the time of further tokens at the pace of
	// this answer. It is 0 if no byte arrived.
	Latency time.Duration
	// Server is the server that the outcome comes from, or empty if there was
	// none.
	Server identifier.BackendServer
}

// pickVersion picks the version of the next attempts.
func (t *task) pickVersion() {
	if t.d.opt.PickVersion == nil {
		t.version = t.r.Service.Version
		return
	}
	var l Load
	if t.grant != nil {
		s := t.d.admission().admitter.Status(t.r.Service.Name)
		l = Load{InFlight: s.InFlight, Capacity: s.Limit}
	}
	t.versionPick = t.d.opt.PickVersion(t.r, l, t.versionPicked)
	t.versionPicked = true
	t.version = t.versionPick.Version()
}

// endVersionPick reports the result of the request on the picked version. Only
// the first call for each pick has an effect.
func (t *task) endVersionPick(r VersionResult) {
	if t.versionPick == nil {
		return
	}
	r.Latency = t.nominalLatency()
	t.versionPick.Ended(r)
	t.versionPick = nil
}
