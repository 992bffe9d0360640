package administrator

import (
	"cmp"
	"net/http"
	"slices"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/evacuator"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/reducer"
)

// Overview is the response to GET /v1/status.
type Overview struct {
	Configuration ConfigurationStatus `json:"configuration"`
	// Keepers is absent if the host cannot list the members of the control log.
	Keepers *Members `json:"keepers,omitempty"`
	// ActiveExceptions and LapsedExceptions are the numbers of exceptions that
	// are active and that have expired.
	ActiveExceptions int `json:"activeExceptions"`
	LapsedExceptions int `json:"lapsedExceptions"`
	// Rollouts holds the running rollouts, newest first.
	Rollouts []RolloutStatus `json:"rollouts"`
	// Evacuations lists the failure domains whose backend servers get no new calls.
	Evacuations []evacuator.Evacuation `json:"evacuations"`
	// BackendServers counts the backend servers in the effective configuration.
	BackendServers []BackendServerCount `json:"backendServers"`
}

// BackendServerCount counts the backend servers of one service, version and
// failure domain.
type BackendServerCount struct {
	Service       identifier.Service       `json:"service"`
	Version       identifier.Version       `json:"version"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Count         int                      `json:"count"`
	// Concurrency is the number of requests that they can run concurrently in
	// total.
	Concurrency int `json:"concurrency"`
}

// getOverview responds with a summary of the fleet.
func (h *handler) getOverview(w http.ResponseWriter, r *http.Request) {
	v, err := h.head(r.Context())
	if err != nil {
		refuse(w, err)
		return
	}
	overview := Overview{
		Configuration: h.status(r, v), Rollouts: runningRollouts(v), BackendServers: []BackendServerCount{},
		Evacuations: append([]evacuator.Evacuation{}, v.Evacuated.Evacuations...),
	}
	if members, err := h.members(r); err == nil {
		overview.Keepers = &members
	}
	if err := h.addFleetCounts(&overview, v); err != nil {
		refuse(w, err)
		return
	}
	respond(w, overview)
}

// runningRollouts returns the rollouts that have not ended, newest first.
func runningRollouts(v reducer.View) []RolloutStatus {
	return slices.DeleteFunc(rolloutStatuses(v), func(r RolloutStatus) bool { return r.Phase.Ended() })
}

// addFleetCounts sets the counts of o that follow from the fleet document: its
// exceptions and backend servers.
func (h *handler) addFleetCounts(o *Overview, v reducer.View) error {
	if v.Revision == 0 {
		return nil
	}
	fleet, err := configurer.LoadFleet(v.Document)
	if err != nil {
		return err
	}
	now := h.clock.Now()
	for _, e := range fleet.Exceptions {
		if e.IsActive(now) {
			o.ActiveExceptions++
		} else {
			o.LapsedExceptions++
		}
	}
	effective, err := fleet.Effective(now)
	if err != nil {
		return err
	}
	o.BackendServers = countBackendServers(effective.BackendServers)
	return nil
}

// countBackendServers counts servers by service, version and failure domain. The
// result is sorted by these, in that order.
func countBackendServers(servers []configurer.BackendServer) []BackendServerCount {
	counts := make(map[BackendServerCount]BackendServerCount)
	for _, b := range servers {
		key := BackendServerCount{Service: b.Service, Version: b.Version, FailureDomain: b.FailureDomain}
		count, ok := counts[key]
		if !ok {
			count = key
		}
		count.Count++
		count.Concurrency += b.Concurrency
		counts[key] = count
	}
	list := make([]BackendServerCount, 0, len(counts))
	for _, count := range counts {
		list = append(list, count)
	}
	slices.SortFunc(list, func(a, b BackendServerCount) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version), cmp.Compare(a.FailureDomain, b.FailureDomain))
	})
	return list
}
