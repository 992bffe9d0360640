package administrator

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
)

// proposal is a change on its way to the control log.
type proposal struct {
	event reducer.Event
	// refusal is the record to leave if the change fails its checks; its
	// problem is still empty.
	refusal reducer.RecordRefusal
	// edit returns the document that the change leads to from the present one.
	edit func(present []byte) ([]byte, error)
}

// change checks p, proposes it and answers with what became of it.
func (h *handler) change(w http.ResponseWriter, r *http.Request, p proposal) {
	outcome, err := h.propose(r, p)
	if err != nil {
		refuse(w, err)
		return
	}
	accepted, _ := outcome.(reducer.Accepted)
	respond(w, Changed{ChangeID: p.refusal.ChangeID, Revision: accepted.Revision, Resent: accepted.Resent})
}

// propose returns the outcome of an accepted change, or why there is none.
func (h *handler) propose(r *http.Request, p proposal) (reducer.Outcome, error) {
	v, err := h.head(r.Context())
	if err != nil {
		return nil, err
	}
	if problem := checkAgainst(v, p); problem != nil {
		h.recordRefusal(r, p.refusal, problem)
		return nil, problem
	}
	outcome, err := h.backend.Propose(r.Context(), p.event)
	if err != nil {
		return nil, err
	}
	return outcome, outcome.Err()
}

// checkAgainst checks the document that p leads to. A change against an earlier
// revision is left to the log, which knows whether it is a resend.
func checkAgainst(v reducer.View, p proposal) error {
	base := p.refusal.Base
	if base < v.Revision {
		return nil
	}
	if base > v.Revision {
		return refuser.NotRun(refuser.Conflict, fmt.Sprintf("revision %d does not exist, the present one is %d", base, v.Revision),
			fmt.Sprintf("look at revision %d and make the change against it", v.Revision))
	}
	document, err := p.edit(v.Document)
	if err == nil {
		_, err = configurer.DecodeFleet(document)
	}
	if err != nil {
		return malformed(err)
	}
	return nil
}

// malformed returns the refusal of a document or exception with faults.
func malformed(err error) error {
	var faults *configurer.FaultsError
	if errors.As(err, &faults) {
		return refuser.NotRun(refuser.Malformed, err.Error(), "correct the fields named above")
	}
	problem, remedy, _ := strings.Cut(err.Error(), ": ")
	return refuser.NotRun(refuser.Malformed, problem, remedy)
}

// recordRefusal puts a change that failed its checks on the audit trail.
func (h *handler) recordRefusal(r *http.Request, refusal reducer.RecordRefusal, problem error) {
	refusal.Problem = problem.Error()
	if _, err := h.backend.Propose(r.Context(), refusal); err != nil {
		unauditedRefusals.Inc()
		h.log.Warn("refused change is not on the audit trail", "operator", refusal.Operator, "changeId", refusal.ChangeID, "err", err)
	}
}

// refusalOf returns the record of a change of r that fails its checks.
func (h *handler) refusalOf(r *http.Request, event reducer.Event, id identifier.ChangeID, base identifier.Revision, reason string) reducer.RecordRefusal {
	return reducer.RecordRefusal{
		Action: reducer.ActionOf(event), ChangeID: id, Base: base,
		Operator: operator(r), Reason: reason, At: h.clock.Now().UTC(),
	}
}
