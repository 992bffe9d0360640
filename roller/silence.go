package roller

import "time"

// What a host does that does not hear from the controller.
const (
	// keepAliveInterval is how often a host hears from the controller although
	// nothing changed.
	keepAliveInterval = 5 * time.Second
	// silenceLimit is how long a host holds its share in the controller's
	// silence: longer than a change of leader takes.
	silenceLimit = 30 * time.Second
	// silenceStep is the time between two steps down after that. Steps keep the
	// control's servers from getting all traffic at once with empty caches.
	silenceStep = time.Minute
)

// ceilingAfter returns the highest level that a host may use which has not
// heard from the controller for a time: that of the last directive at first,
// and then one level less with every step, down to none.
func ceilingAfter(silence time.Duration, last Level) Level {
	if silence < silenceLimit {
		return TopLevel
	}
	steps := 1 + int((silence-silenceLimit)/silenceStep)
	return Level(max(int(last)-steps, int(NoLevel)))
}
