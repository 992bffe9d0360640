package administrator

import (
	"errors"
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

// RolloutRequest is the request body of POST /v1/rollouts.
type RolloutRequest struct {
	// ChangeID identifies the change and is also the rollout's id. It stays the
	// same when the change is resent.
	ChangeID identifier.ChangeID `json:"changeId"`
	Service  identifier.Service  `json:"service"`
	// To is the version to move to.
	To identifier.Version `json:"to"`
	// Deadline is when all traffic must have moved.
	Deadline time.Time `json:"deadline"`
	// Watch is how long the old version stays loaded after all traffic has moved.
	Watch configurer.Duration `json:"watch"`
	// Reason is the operator's explanation.
	Reason string `json:"reason,omitempty"`
}

// RolloutRevert is the request body of POST /v1/rollouts/{id}/revert.
type RolloutRevert struct {
	ChangeID identifier.ChangeID `json:"changeId"`
	// Reason is the operator's explanation.
	Reason string `json:"reason"`
}

// Rollouts is the response to GET /v1/rollouts.
type Rollouts struct {
	// Rollouts holds the rollouts, newest first.
	Rollouts []RolloutStatus `json:"rollouts"`
}

// RolloutStatus is one rollout and its current share.
type RolloutStatus struct {
	roller.Record
	// Share is the share of requests that the new version receives.
	Share identifier.Share `json:"share"`
}

// RolloutResult is the response to an accepted start or revert of a rollout.
type RolloutResult struct {
	ID identifier.RolloutID `json:"id"`
	// Resent reports whether the change was already accepted under its id.
	Resent bool `json:"resent,omitempty"`
}

// getRollouts lists the rollouts.
func (h *handler) getRollouts(w http.ResponseWriter, r *http.Request) {
	v, err := h.head(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	respond(w, Rollouts{Rollouts: rolloutStatuses(v)})
}

// rolloutStatuses returns the rollouts, newest first.
func rolloutStatuses(v reducer.View) []RolloutStatus {
	statuses := make([]RolloutStatus, 0, len(v.Rollouts))
	for _, record := range slices.Backward(v.Rollouts) {
		statuses = append(statuses, RolloutStatus{Record: record, Share: record.Level.Share()})
	}
	return statuses
}

// startRollout starts a rollout of a service to another version.
func (h *handler) startRollout(w http.ResponseWriter, r *http.Request) {
	var q RolloutRequest
	if err := readBody(w, r, &q); err != nil {
		refuse(w, err)
		return
	}
	start, err := h.planRollout(r, q)
	if err != nil {
		h.recordRefusal(r, reducer.RecordRefusal{
			Action: "startRollout", ChangeID: q.ChangeID, Operator: operator(r), Reason: q.Reason, At: h.clock.Now().UTC(),
		}, err)
		refuse(w, err)
		return
	}
	h.changeRollout(w, r, start.ID, reducer.Rollout{ChangeID: q.ChangeID, Event: start})
}

// planRollout returns the event that starts the rollout q, with the fields set
// that q does not contain.
func (h *handler) planRollout(r *http.Request, q RolloutRequest) (roller.StartRollout, error) {
	backend, ok := h.backend.(RolloutBackend)
	if !ok {
		return roller.StartRollout{}, refuser.NotRun(refuser.NotFound, "this host starts no rollouts", "ask another host with --address")
	}
	if err := checkTextLengths(q.ChangeID, q.Reason); err != nil {
		return roller.StartRollout{}, err
	}
	v, err := h.head(r.Context())
	if err != nil {
		return roller.StartRollout{}, err
	}
	start := roller.StartRollout{
		ID: identifier.RolloutID(q.ChangeID), Service: q.Service, To: q.To, At: h.clock.Now().UTC(),
		Deadline: q.Deadline.UTC(), Watch: q.Watch.Std(), Operator: operator(r), Reason: q.Reason,
	}
	if slices.ContainsFunc(v.Rollouts, func(r roller.Record) bool { return r.Start.ID == start.ID }) {
		// This is a resend. The control log returns the first outcome and ignores
		// the planned fields.
		return start, nil
	}
	if start.From, err = currentVersion(v, q, start.At); err != nil {
		return roller.StartRollout{}, err
	}
	return backend.PlanRollout(r.Context(), start)
}

// checkTextLengths returns a refusal if id is empty, or id or reason is too long.
func checkTextLengths(id identifier.ChangeID, reason string) error {
	if id == "" || len(id) > reducer.MaxChangeIDBytes || len(reason) > reducer.MaxReasonBytes {
		return malformed(fmt.Errorf("the change id is empty, or it or the reason is too long: send at most %d and %d bytes",
			reducer.MaxChangeIDBytes, reducer.MaxReasonBytes))
	}
	return nil
}

// currentVersion returns the version that receives the traffic of the service of
// q. It returns a refusal if there is no configuration, the service does not
// exist or no backend server of it runs the version to move to.
func currentVersion(v reducer.View, q RolloutRequest, now time.Time) (identifier.Version, error) {
	if v.Revision == 0 {
		return "", malformed(errors.New("there is no configuration: put one there with 'cyclamenctl config set'"))
	}
	fleet, err := configurer.LoadFleet(v.Document)
	if err != nil {
		return "", err
	}
	effective, err := fleet.Effective(now)
	if err != nil {
		return "", err
	}
	service, ok := effective.Service(q.Service)
	if !ok {
		return "", malformed(fmt.Errorf("there is no service %q: see 'cyclamenctl status'", q.Service))
	}
	if !slices.ContainsFunc(effective.BackendServers, func(b configurer.BackendServer) bool { return b.Service == q.Service && b.Version == q.To }) {
		return "", malformed(fmt.Errorf("no backend server of service %q runs version %q: add them with 'cyclamenctl config set' first", q.Service, q.To))
	}
	return versionAfterRollouts(v.Rollouts, service.Name, service.Version), nil
}

// versionAfterRollouts returns the version that service runs after the completed
// rollouts, which are ordered oldest first. Its configured version is version.
func versionAfterRollouts(rollouts []roller.Record, service identifier.Service, version identifier.Version) identifier.Version {
	for _, r := range rollouts {
		if r.Start.Service == service && r.Phase == roller.Done && r.Start.From == version {
			version = r.Start.To
		}
	}
	return version
}

// revertRollout reverts a rollout to the old version.
func (h *handler) revertRollout(w http.ResponseWriter, r *http.Request) {
	var q RolloutRevert
	if err := readBody(w, r, &q); err != nil {
		refuse(w, err)
		return
	}
	id := identifier.RolloutID(chi.URLParam(r, "id"))
	if err := checkTextLengths(q.ChangeID, q.Reason); err != nil {
		h.recordRefusal(r, reducer.RecordRefusal{
			Action: "revertRollout", ChangeID: q.ChangeID, Operator: operator(r), Reason: q.Reason, At: h.clock.Now().UTC(),
		}, err)
		refuse(w, err)
		return
	}
	h.changeRollout(w, r, id, reducer.Rollout{ChangeID: q.ChangeID, Event: roller.RevertRollout{
		ID: id, Operator: operator(r), Reason: q.Reason, At: h.clock.Now().UTC(),
	}})
}

// changeRollout proposes ev and responds with its outcome.
func (h *handler) changeRollout(w http.ResponseWriter, r *http.Request, id identifier.RolloutID, ev reducer.Rollout) {
	outcome, err := h.backend.Propose(r.Context(), ev)
	if err == nil {
		err = outcome.Err()
	}
	if err != nil {
		refuse(w, err)
		return
	}
	accepted, _ := outcome.(reducer.Accepted)
	respond(w, RolloutResult{ID: id, Resent: accepted.Resent})
}
