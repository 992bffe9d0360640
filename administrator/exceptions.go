package administrator

import (
	"encoding/json"
	"net/http"

	"github.com/go-chi/chi/v5"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
)

// getExceptions lists the exceptions and whether they are active.
func (h *handler) getExceptions(w http.ResponseWriter, r *http.Request) {
	v, err := h.head(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	response := Exceptions{Revision: v.Revision, Exceptions: []ExceptionStatus{}}
	if v.Revision > 0 {
		fleet, err := configurer.LoadFleet(v.Document)
		if err != nil {
			refuse(w, err)
			return
		}
		now := h.clock.Now()
		for _, e := range fleet.Exceptions {
			response.Exceptions = append(response.Exceptions, ExceptionStatus{Exception: e, Active: e.IsActive(now)})
		}
	}
	respond(w, response)
}

// addException adds one exception.
func (h *handler) addException(w http.ResponseWriter, r *http.Request) {
	var a ExceptionAddition
	if err := readBody(w, r, &a); err != nil {
		refuse(w, err)
		return
	}
	exception, err := json.Marshal(a.Exception)
	if err != nil {
		refuse(w, refuser.NotRun(refuser.Malformed, "the exception is no JSON: "+err.Error(), "write its value as JSON"))
		return
	}
	event := reducer.AddException{
		ChangeID: a.ChangeID, Base: a.Base, Operator: operator(r), Reason: a.Exception.Reason,
		Exception: exception, At: h.clock.Now().UTC(),
	}
	h.handleProposal(w, r, proposal{
		event: event, refusal: h.newRefusalRecord(r, event, a.ChangeID, a.Base, a.Exception.Reason),
		edit: func(current []byte) ([]byte, error) { return configurer.AddException(current, exception) },
	})
}

// removeException removes one exception.
func (h *handler) removeException(w http.ResponseWriter, r *http.Request) {
	var removal ExceptionRemoval
	if err := readBody(w, r, &removal); err != nil {
		refuse(w, err)
		return
	}
	name := chi.URLParam(r, "name")
	event := reducer.RemoveException{
		ChangeID: removal.ChangeID, Base: removal.Base, Operator: operator(r), Reason: removal.Reason,
		Name: name, At: h.clock.Now().UTC(),
	}
	h.handleProposal(w, r, proposal{
		event: event, refusal: h.newRefusalRecord(r, event, removal.ChangeID, removal.Base, removal.Reason),
		edit: func(current []byte) ([]byte, error) { return configurer.RemoveException(current, name) },
	})
}
