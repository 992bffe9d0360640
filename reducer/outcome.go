package reducer

import (
	"fmt"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// Outcome is the result of a proposed event.
type Outcome interface {
	isOutcome()
	// Err returns nil for an accepted event and otherwise a *refuser.Refusal
	// that includes the remedy.
	Err() error
}

// Accepted reports that the event took effect.
type Accepted struct {
	// Revision is the configuration's revision after the event.
	Revision identifier.Revision `json:"revision"`
	// Resent reports that the event took effect earlier, under the same id.
	Resent bool `json:"resent,omitempty"`
}

// Conflict reports that the change was made against a revision other than the
// current one.
type Conflict struct {
	Base    identifier.Revision `json:"base"`
	Present identifier.Revision `json:"present"`
	// Resent reports that this is the stored first outcome of the change id.
	Resent bool `json:"resent,omitempty"`
}

// Refused reports that the event cannot take effect at any revision.
type Refused struct {
	Kind    refuser.Kind `json:"kind"`
	Problem string       `json:"problem"`
	Remedy  string       `json:"remedy"`
	// Resent reports that this is the stored first outcome of the change id.
	Resent bool `json:"resent,omitempty"`
}

func (Accepted) isOutcome() {}
func (Conflict) isOutcome() {}
func (Refused) isOutcome()  {}

// Err returns nil.
func (Accepted) Err() error { return nil }

// Err returns a refusal that names the current revision.
func (c Conflict) Err() error {
	return refuser.NotRun(refuser.Conflict,
		fmt.Sprintf("the change was made against revision %d and the present one is %d", c.Base, c.Present),
		fmt.Sprintf("look at revision %d and make the change again with --base %d", c.Present, c.Present))
}

// Err returns the refusal.
func (r Refused) Err() error { return refuser.NotRun(r.Kind, r.Problem, r.Remedy) }

// markResent returns o with its Resent flag set.
func markResent(o Outcome) Outcome {
	switch o := o.(type) {
	case Accepted:
		o.Resent = true
		return o
	case Conflict:
		o.Resent = true
		return o
	case Refused:
		o.Resent = true
		return o
	default:
		return o
	}
}
