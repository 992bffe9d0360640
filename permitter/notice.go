package permitter

import (
	"time"

	"cyclamenhub.org/announcer"
	"cyclamenhub.org/identifier"
)

// Report is what a host tells the leader in a sync.
type Report struct {
	// Grant identifies the last grant that the host has applied.
	Grant   GrantID
	Servers map[identifier.ServerRun]ServerReport
}

// ServerReport is the part of a Report about one server.
type ServerReport struct {
	// Notice is what the last response to this host said, or nil if none said
	// anything. It holds nothing that the host has learned from a leader: each
	// message makes a notice look newer than it is, so that an old one would
	// return again and again.
	Notice *announcer.Notice
	// Told is what a leader told this host if that is newer and says that the
	// server has a limit, else nil. It is for a new leader, which knows nothing yet.
	Told *announcer.Notice
	// WarmUp is set if the host has found that the server may start, and thus be
	// cold. What the host has learned from the leader is not reported.
	WarmUp  *WarmUp
	Service identifier.Service
	// Needed is the number of calls that wait for a permit of this server or of
	// another one of the service.
	Needed int
	// Wanted is the number of calls since the last report that would have been
	// sent to the server with a permit, and went to a server without a limit.
	Wanted int
	// Spent is the number of permits of the last grant that were spent. The host
	// has dropped the others.
	Spent int
}

// GrantID identifies a grant. It differs between leaders.
type GrantID uint64

// Grant is the leader's response to a Report.
type Grant struct {
	ID      GrantID
	Servers map[identifier.ServerRun]ServerGrant
}

// ServerGrant is the part of a Grant about one server.
type ServerGrant struct {
	Notice announcer.Notice
	// WarmUp is set if the server is cold or may be.
	WarmUp *WarmUp
	// Permits is the number of requests that the host may send until the permits
	// expire or the next report.
	Permits int
	// Wait is the time after which a call that needed a permit and got none may
	// come back; 0 if there was none.
	Wait time.Duration
}
