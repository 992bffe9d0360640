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

// proposal is a change to be validated and proposed to the control log.
type proposal struct {
	event reducer.Event
	// refusal is the audit record to write if the change fails its checks. Its
	// Problem is not set yet.
	refusal reducer.RecordRefusal
	// edit applies the change to the current document and returns the result.
	edit func(current []byte) ([]byte, error)
}

// handleProposal checks p, proposes it and responds with its outcome.
func (h *handler) handleProposal(w http.ResponseWriter, r *http.Request, p proposal) {
	outcome, err := h.propose(r, p)
	if err != nil {
		refuse(w, err)
		return
	}
	accepted, _ := outcome.(reducer.Accepted)
	respond(w, ChangeResult{ChangeID: p.refusal.ChangeID, Revision: accepted.Revision, Resent: accepted.Resent})
}

// propose checks p, proposes it and returns its outcome. It returns an error if
// the change is refused or the control log does not confirm it. A change that
// fails its checks is recorded in the audit trail.
func (h *handler) propose(r *http.Request, p proposal) (reducer.Outcome, error) {
	v, err := h.head(r.Context())
	if err != nil {
		return nil, err
	}
	if problem := checkProposal(v, p); problem != nil {
		h.recordRefusal(r, p.refusal, problem)
		return nil, problem
	}
	outcome, err := h.backend.Propose(r.Context(), p.event)
	if err != nil {
		return nil, err
	}
	return outcome, outcome.Err()
}

// checkProposal validates the document that results from p. It accepts a change
// against an earlier revision without a check, since only the control log can
// tell whether it is a resend.
func checkProposal(v reducer.View, p proposal) error {
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

// malformed returns the refusal for err, which describes an invalid request.
// Unless err is a FaultsError, its text holds the problem and the remedy,
// separated by ": ".
func malformed(err error) error {
	var faults *configurer.FaultsError
	if errors.As(err, &faults) {
		return refuser.NotRun(refuser.Malformed, err.Error(), "correct the fields named above")
	}
	problem, remedy, _ := strings.Cut(err.Error(), ": ")
	return refuser.NotRun(refuser.Malformed, problem, remedy)
}

// recordRefusal records a change that failed its checks in the audit trail. If
// that fails, it only counts and logs the failure.
func (h *handler) recordRefusal(r *http.Request, refusal reducer.RecordRefusal, problem error) {
	refusal.Problem = problem.Error()
	if _, err := h.backend.Propose(r.Context(), refusal); err != nil {
		unauditedRefusals.Inc()
		h.log.Warn("failed to record refused change in audit trail", "operator", refusal.Operator, "changeId", refusal.ChangeID, "err", err)
	}
}

// newRefusalRecord returns the audit record for a change that r requests, for
// the case that it fails its checks.
func (h *handler) newRefusalRecord(r *http.Request, event reducer.Event, id identifier.ChangeID, base identifier.Revision, reason string) reducer.RecordRefusal {
	return reducer.RecordRefusal{
		Action: reducer.ActionOf(event), ChangeID: id, Base: base,
		Operator: operator(r), Reason: reason, At: h.clock.Now().UTC(),
	}
}
