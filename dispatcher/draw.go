package dispatcher

import (
	"time"

	"cyclamenhub.org/identifier"
)

// Load is how busy a service is on this host when a version is drawn.
type Load struct {
	// InFlight counts the requests that were sent and not answered.
	InFlight int
	// Capacity is how many may be.
	Capacity int
}

// DrawFunc draws the version that a request goes to. again tells that an
// earlier version brought the request no progress.
type DrawFunc func(r *Request, l Load, again bool) Draw

// Draw is the version drawn for a request.
type Draw interface {
	// Version returns the version, or "" for any.
	Version() identifier.Version
	// Ended tells how the request went on that version. It is called exactly
	// once for each Draw.
	Ended(e Ending)
}

// Ending tells how a request went on the version drawn for it. Its outcome is
// that of the first attempt that ended other than by a silent reused
// connection.
type Ending struct {
	Outcome Outcome
	// Latency is the time from the first send to the first byte; 0 means that
	// none came.
	Latency time.Duration
	// Server gave the outcome; empty where none did.
	Server identifier.BackendServer
}

// fixedDraw is a version that nothing was drawn for.
type fixedDraw identifier.Version

// Version returns the version.
func (v fixedDraw) Version() identifier.Version { return identifier.Version(v) }

// Ended does nothing.
func (fixedDraw) Ended(Ending) {}

// drawVersion draws the version of the next attempts.
func (t *task) drawVersion() {
	var l Load
	if t.grant != nil {
		s := t.d.admission().admitter.Status(t.r.Service.Name)
		l = Load{InFlight: s.InFlight, Capacity: s.Limit}
	}
	t.draw = t.d.opt.Draw(t.r, l, t.drawn)
	t.drawn = true
	t.version = t.draw.Version()
}

// endDraw tells how the request went on the drawn version, once.
func (t *task) endDraw(o Outcome, server identifier.BackendServer) {
	if t.draw == nil {
		return
	}
	t.draw.Ended(Ending{Outcome: o, Latency: t.firstToken, Server: server})
	t.draw = nil
}
