package administrator

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/go-chi/chi/v5"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/evacuator"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/reducer"
)

// EvacuationRequest is the request body of POST /v1/evacuations/{domain} and of POST
// /v1/evacuations/{domain}/end.
type EvacuationRequest struct {
	ChangeID identifier.ChangeID `json:"changeId"`
	// Reason is the operator's explanation.
	Reason string `json:"reason,omitempty"`
}

// Evacuations is the response to GET /v1/evacuations.
type Evacuations struct {
	Evacuations []evacuator.Evacuation `json:"evacuations"`
}

// getEvacuations lists the evacuated failure domains.
func (h *handler) getEvacuations(w http.ResponseWriter, r *http.Request) {
	v, err := h.head(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	respond(w, Evacuations{Evacuations: append([]evacuator.Evacuation{}, v.Evacuated.Evacuations...)})
}

// startEvacuation evacuates a failure domain.
func (h *handler) startEvacuation(w http.ResponseWriter, r *http.Request) {
	h.changeEvacuation(w, r, "startEvacuation", func(d identifier.FailureDomain, q evacuator.Request) (evacuator.Event, error) {
		return evacuator.Start{Domain: d, Request: q}, h.checkDomain(r, d)
	})
}

// endEvacuation ends the evacuation of a failure domain.
func (h *handler) endEvacuation(w http.ResponseWriter, r *http.Request) {
	h.changeEvacuation(w, r, "endEvacuation", func(d identifier.FailureDomain, q evacuator.Request) (evacuator.Event, error) {
		return evacuator.End{Domain: d, Request: q}, nil
	})
}

// changeEvacuation proposes the event that newEvent returns and responds with its
// outcome. A request that fails its checks is recorded in the audit trail.
func (h *handler) changeEvacuation(w http.ResponseWriter, r *http.Request, action string,
	newEvent func(identifier.FailureDomain, evacuator.Request) (evacuator.Event, error)) {
	var q EvacuationRequest
	if err := readBody(w, r, &q); err != nil {
		refuse(w, err)
		return
	}
	at, domain := h.clock.Now().UTC(), identifier.FailureDomain(chi.URLParam(r, "domain"))
	ev, err := newEvent(domain, evacuator.Request{ChangeID: q.ChangeID, Operator: operator(r), Reason: q.Reason, At: at})
	if err == nil {
		err = checkTextLengths(q.ChangeID, q.Reason)
	}
	if err != nil {
		h.recordRefusal(r, reducer.RecordRefusal{Action: action, ChangeID: q.ChangeID, Operator: operator(r), Reason: q.Reason, At: at}, err)
		refuse(w, err)
		return
	}
	outcome, err := h.backend.Propose(r.Context(), reducer.Evacuation{Event: ev})
	if err == nil {
		err = outcome.Err()
	}
	if err != nil {
		refuse(w, err)
		return
	}
	accepted, _ := outcome.(reducer.Accepted)
	respond(w, ChangeResult{ChangeID: q.ChangeID, Revision: accepted.Revision, Resent: accepted.Resent})
}

// checkDomain returns a refusal if the fleet document has no backend server in a
// failure domain.
func (h *handler) checkDomain(r *http.Request, d identifier.FailureDomain) error {
	v, err := h.head(r.Context())
	if err != nil {
		return err
	}
	var servers []configurer.BackendServer
	if v.Revision > 0 {
		fleet, err := configurer.LoadFleet(v.Document)
		if err != nil {
			return err
		}
		servers = fleet.Defaults.BackendServers
	}
	if !slices.ContainsFunc(servers, func(b configurer.BackendServer) bool { return b.FailureDomain == d }) {
		return malformed(fmt.Errorf("no backend server is in failure domain %q: name one that 'cyclamenctl status' shows", d))
	}
	return nil
}
