package administrator

import (
	"cmp"
	"net/http"
	"slices"

	"cyclamenhub.org/reducer"
)

// getConfig responds with the current document and its revision.
func (h *handler) getConfig(w http.ResponseWriter, r *http.Request) {
	v, err := h.head(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	respond(w, Configuration{Revision: v.Revision, Since: v.Since, Document: v.Document})
}

// putConfig replaces the document.
func (h *handler) putConfig(w http.ResponseWriter, r *http.Request) {
	var c ConfigurationChange
	if err := readBody(w, r, &c); err != nil {
		refuse(w, err)
		return
	}
	event := reducer.ChangeConfiguration{
		ChangeID: c.ChangeID, Base: c.Base, Operator: operator(r), Reason: c.Reason,
		Document: c.Document, At: h.clock.Now().UTC(),
	}
	h.handleProposal(w, r, proposal{
		event: event, refusal: h.newRefusalRecord(r, event, c.ChangeID, c.Base, c.Reason),
		edit: func([]byte) ([]byte, error) { return c.Document, nil },
	})
}

// getStatus responds with the revision that each host has applied.
func (h *handler) getStatus(w http.ResponseWriter, r *http.Request) {
	v, err := h.head(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	respond(w, h.status(r, v))
}

// status returns the revision that each host has applied, sorted by host.
func (h *handler) status(r *http.Request, v reducer.View) ConfigurationStatus {
	status := ConfigurationStatus{Revision: v.Revision, InForce: true, Hosts: h.backend.HostRevisions(r.Context())}
	slices.SortFunc(status.Hosts, func(a, b HostRevision) int { return cmp.Compare(a.Host, b.Host) })
	for _, host := range status.Hosts {
		status.InForce = status.InForce && host.Revision >= v.Revision
	}
	return status
}
