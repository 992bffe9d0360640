package main

import (
	"errors"
	"fmt"
	"net/http"
	"text/tabwriter"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// idOption is the option for the change id.
type idOption struct {
	ChangeID string `long:"change-id" description:"id of the change; give the same one again to resend a change whose answer was lost"`
}

// id returns the change id. It generates one if none was given, and returns the
// same id in later calls.
func (o *idOption) id() identifier.ChangeID {
	if o.ChangeID == "" {
		o.ChangeID = string(identifier.NewChangeID())
	}
	return identifier.ChangeID(o.ChangeID)
}

// reasonOption is the option for the reason of a change that does not require
// one.
type reasonOption struct {
	Reason string `long:"reason" description:"why the change is made"`
}

// baseOption is the option for the base revision of a change that the host
// applies to the document itself.
type baseOption struct {
	Base *uint64 `long:"base" description:"revision the change is made against; by default the present one"`
}

// revision returns the given base revision, or the current revision if none was
// given.
func (o *baseOption) revision(c *commandContext) (identifier.Revision, error) {
	if o.Base != nil {
		return identifier.Revision(*o.Base), nil
	}
	var current administrator.Exceptions
	err := c.client().call(http.MethodGet, "/exceptions", nil, &current)
	return current.Revision, err
}

// explainResend adds to err the options that resend the change, unless err says
// that the change did not take effect.
func explainResend(err error, options string) error {
	var f *refuser.Refusal
	if errors.As(err, &f) && f.IsNotRun() {
		return err
	}
	return fmt.Errorf("%w; to resend this change give it %s", err, options)
}

// change sends a change and prints its revision. If the change may have taken
// effect, the error contains the options to resend it.
func (c *commandContext) change(method, path string, id identifier.ChangeID, base identifier.Revision, body any) error {
	var changed administrator.ChangeResult
	if err := c.client().call(method, path, body, &changed); err != nil {
		return explainResend(err, fmt.Sprintf("--change-id %s --base %d", id, base))
	}
	return c.print(changed, func(w *tabwriter.Writer) {
		writeRow(w, "REVISION", "RESENT", "CHANGE ID")
		writeRow(w, changed.Revision, yesNo(changed.Resent), id)
	})
}
