package administrator

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/go-chi/chi/v5"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/roller"
)

// RolloutOrder is the body of POST /v1/rollouts.
type RolloutOrder struct {
	// ID is the same in every resend of the order.
	ID      identifier.RolloutID `json:"id"`
	Service identifier.Service   `json:"service"`
	// To is the version to move to.
	To identifier.Version `json:"to"`
	// Within is how long the move may take.
	Within configurer.Duration `json:"within"`
	// Watch is how long the old version stays loaded after it.
	Watch  configurer.Duration `json:"watch"`
	Reason string              `json:"reason"`
}

// RolloutReversal is the body of POST /v1/rollouts/{id}/revert.
type RolloutReversal struct {
	Reason string `json:"reason"`
}

// RolloutList is the answer to GET /v1/rollouts.
type RolloutList struct {
	// Rollouts lists those that changed last first.
	Rollouts []roller.Record `json:"rollouts"`
}

// RolloutAnswer is the answer to an accepted order or reversal.
type RolloutAnswer struct {
	ID identifier.RolloutID `json:"id"`
	// Resent says that there was nothing left to do.
	Resent bool `json:"resent,omitempty"`
}

// The bounds of an order.
const (
	minWithin = 10 * time.Second
	maxWithin = 30 * 24 * time.Hour
)

// check returns what is wrong with the order.
func (o *RolloutOrder) check() error {
	within := o.Within.Std()
	switch {
	case o.ID == "" || len(o.ID) > identifier.MaxNameBytes:
		return refuser.NotRun(refuser.Malformed, "the rollout's id is empty or too long", fmt.Sprintf("give one of at most %d bytes", identifier.MaxNameBytes))
	case o.To.Check() != nil || o.Service.Check() != nil:
		return refuser.NotRun(refuser.Malformed, "the service or version is no name", "write letters, digits, '-', '_' or '.'")
	case within < minWithin || within > maxWithin || o.Watch < 0 || o.Watch.Std() > maxWithin:
		return refuser.NotRun(refuser.Malformed, "the time is out of bounds", fmt.Sprintf("give the move %v to %v", minWithin, maxWithin))
	case o.Reason == "" || len(o.Reason) > reducer.MaxReasonBytes:
		return refuser.NotRun(refuser.Malformed, "the reason is empty or too long", fmt.Sprintf("write one of at most %d bytes", reducer.MaxReasonBytes))
	default:
		return nil
	}
}

// startRollout begins a rollout.
func (h *handler) startRollout(w http.ResponseWriter, r *http.Request) {
	var o RolloutOrder
	if err := readBody(w, r, &o); err != nil {
		refuse(w, err)
		return
	}
	if err := o.check(); err != nil {
		refuse(w, err)
		return
	}
	now := h.clock.Now().UTC()
	h.changeRollout(w, r, o.ID, roller.StartRollout{
		ID: o.ID, Service: o.Service, To: o.To, At: now, Deadline: now.Add(o.Within.Std()),
		Watch: o.Watch.Std(), Operator: operator(r), Reason: o.Reason,
	})
}

// revertRollout takes a version back.
func (h *handler) revertRollout(w http.ResponseWriter, r *http.Request) {
	var body RolloutReversal
	if err := readBody(w, r, &body); err != nil {
		refuse(w, err)
		return
	}
	id := identifier.RolloutID(chi.URLParam(r, "id"))
	h.changeRollout(w, r, id, roller.RevertRollout{ID: id, Operator: operator(r), Reason: body.Reason, At: h.clock.Now().UTC()})
}

// changeRollout proposes an event and answers with what became of it.
func (h *handler) changeRollout(w http.ResponseWriter, r *http.Request, id identifier.RolloutID, e roller.Event) {
	outcome, err := h.backend.Propose(r.Context(), reducer.ChangeRollout{Event: e})
	if err == nil {
		err = outcome.Err()
	}
	if err != nil {
		refuse(w, err)
		return
	}
	accepted, _ := outcome.(reducer.Accepted)
	respond(w, RolloutAnswer{ID: id, Resent: accepted.Resent})
}

// getRollouts lists the rollouts.
func (h *handler) getRollouts(w http.ResponseWriter, r *http.Request) {
	v, err := h.backend.View(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	respond(w, RolloutList{Rollouts: v.Rollouts})
}

// getRollout answers with one rollout.
func (h *handler) getRollout(w http.ResponseWriter, r *http.Request) {
	v, err := h.backend.View(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	id := identifier.RolloutID(chi.URLParam(r, "id"))
	i := slices.IndexFunc(v.Rollouts, func(x roller.Record) bool { return x.Start.ID == id })
	if i < 0 {
		refuse(w, refuser.NotRun(refuser.NotFound, fmt.Sprintf("rollout %q is unknown", id), "list the rollouts and correct the id"))
		return
	}
	respond(w, v.Rollouts[i])
}
