package describer

import "time"

// Tolerance is how far a rate may be exceeded in any time window.
type Tolerance struct {
	// Overrun is a fraction of the rate and, if there is one, the burst. Slack is a constant that
	// is allowed in addition.
	Overrun, Slack float64
	Window         time.Duration
}
