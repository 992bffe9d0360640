package dispatcher

import (
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/roller"
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
	// Evidence is what the outcome tells of the version.
	Evidence roller.Outcome
	// Latency is the time from the first send to the first byte, and for a
	// generation that of further tokens at its own pace; 0 means that no byte
	// came.
	Latency time.Duration
	// Server gave the outcome; empty where none did.
	Server identifier.BackendServer
}

// drawVersion draws the version of the next attempts.
func (t *task) drawVersion() {
	if t.d.opt.Draw == nil {
		t.version = t.r.Service.Version
		return
	}
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
func (t *task) endDraw(e Ending) {
	if t.draw == nil {
		return
	}
	e.Latency = t.nominalTime()
	t.draw.Ended(e)
	t.draw = nil
}
