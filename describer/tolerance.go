package describer

import "time"

// Tolerance is how far a customer may exceed its rate in any window of time.
type Tolerance struct {
	// Overrun is a part of the rate and the burst, and Slack is allowed besides.
	Overrun, Slack float64
	Window         time.Duration
}
