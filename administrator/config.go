package administrator

import (
	"net/http"
	"slices"
	"strings"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
)

// getConfig answers with the present document.
func (h *handler) getConfig(w http.ResponseWriter, r *http.Request) {
	v, err := h.backend.View(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	respond(w, Configuration{Revision: v.Revision, Since: v.Since, Document: v.Document})
}

// putConfig replaces the document.
func (h *handler) putConfig(w http.ResponseWriter, r *http.Request) {
	var c Change
	if err := readBody(w, r, &c); err != nil {
		refuse(w, err)
		return
	}
	h.change(w, r, c)
}

// change checks and proposes c and answers with what became of it.
func (h *handler) change(w http.ResponseWriter, r *http.Request, c Change) {
	if _, err := configurer.DecodeFleet(c.Document); err != nil {
		h.refuseChange(w, r, c, err)
		return
	}
	outcome, err := h.backend.Propose(r.Context(), reducer.ChangeConfiguration{
		ChangeID: c.ChangeID, Base: c.Base, Operator: operator(r), Reason: c.Reason,
		Document: c.Document, At: h.clock.Now().UTC(),
	})
	if err == nil {
		err = outcome.Err()
	}
	if err != nil {
		refuse(w, err)
		return
	}
	accepted, _ := outcome.(reducer.Accepted)
	respond(w, Changed{ChangeID: c.ChangeID, Revision: accepted.Revision, Resent: accepted.Resent})
}

// refuseChange puts a change that failed its checks on the audit trail and
// refuses it.
func (h *handler) refuseChange(w http.ResponseWriter, r *http.Request, c Change, problem error) {
	_, err := h.backend.Propose(r.Context(), reducer.RecordRefusal{
		ChangeID: c.ChangeID, Base: c.Base, Operator: operator(r), Reason: c.Reason,
		Problem: problem.Error(), At: h.clock.Now().UTC(),
	})
	if err != nil {
		h.log.Warn("refused change is not on the audit trail", "operator", operator(r), "changeId", c.ChangeID, "err", err)
	}
	refuse(w, refuser.NotRun(refuser.Malformed, problem.Error(), "correct the fields named above"))
}

// getStatus tells which hosts run which revision.
func (h *handler) getStatus(w http.ResponseWriter, r *http.Request) {
	v, err := h.backend.View(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	status := Status{Revision: v.Revision, InForce: true, Hosts: h.backend.HostRevisions(r.Context())}
	slices.SortFunc(status.Hosts, func(a, b HostRevision) int { return strings.Compare(string(a.Host), string(b.Host)) })
	for _, host := range status.Hosts {
		status.InForce = status.InForce && host.Revision >= v.Revision
	}
	respond(w, status)
}
