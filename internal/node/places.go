package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/reserver"
	"cyclamenhub.org/timer"
)

// placesMethod is the call by which an entry host reports what it has at brittle backend
// servers and gets places there.
const placesMethod messenger.Method = "node.places"

// placesTimeout bounds one report on places.
const placesTimeout = 400 * time.Millisecond

// placesReady tells runPlaces that a report on places is due at once.
func (e *entry) placesReady() {
	wake(e.newPlaces)
}

// runPlaces reports on places with the period of the sync and when a report is due, until
// ctx ends. While no service is or was brittle it sends nothing.
func (e *entry) runPlaces(ctx context.Context) {
	for ctx.Err() == nil {
		t := time.NewTimer(syncPeriod(int(e.hostCount.Load())))
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-e.newPlaces:
		}
		t.Stop()
		interval, isDue := e.placer.PlaceInterval()
		if !isDue || ctx.Err() != nil {
			continue
		}
		e.placesMu.Lock()
		e.exchangePlaces(ctx)
		e.placesMu.Unlock()
		timer.Sleep(ctx, interval)
	}
}

// requestPlaces gets places for the calls that wait for them.
func (e *entry) requestPlaces(ctx context.Context) {
	if !e.placer.NeedsPlaces() {
		return
	}
	e.placesMu.Lock()
	defer e.placesMu.Unlock()
	if e.placer.NeedsPlaces() { // Otherwise a report that has ended meanwhile has asked.
		e.exchangePlaces(ctx)
	}
}

// exchangePlaces sends a report on places to the leader and applies the answer. The caller
// holds placesMu.
func (e *entry) exchangePlaces(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, placesTimeout)
	defer cancel()
	req := encodePlaceReport(e.placer.PlaceReport())
	req.Host = string(e.cfg.Host)
	var resp wire.PlaceGrant
	// Without an answer the next report says again what this host holds.
	if address := e.leader.Load(); address != nil && e.messenger.Call(ctx, *address, placesMethod, req, &resp) == nil {
		e.placer.ApplyPlaces(decodePlaceGrant(&resp))
	}
	logBrittleness(e.log, e.placer.BrittleChanges())
}

// handlePlaces answers the report of an entry host on places if this keeper leads.
func (n *keeperNode) handlePlaces(_ context.Context, c *messenger.Call) (proto.Message, error) {
	var req wire.PlaceReport
	if err := c.Decode(&req); err != nil {
		return nil, err
	}
	report := decodePlaceReport(&req)
	n.mu.Lock()
	defer n.mu.Unlock()
	lease, err := n.keeper.Load().Lease()
	if err != nil {
		return &wire.PlaceGrant{}, nil // Another keeper issues places.
	}
	n.enterTerm(lease.Fencing())
	g := n.places.Exchange(n.clock.Now(), identifier.Host(req.GetHost()), report)
	logBrittleness(n.log, n.places.Changes())
	return encodePlaceGrant(g), nil
}

// writePlaceMetrics writes the metrics of the brittle backend servers while this keeper
// leads.
func (n *keeperNode) writePlaceMetrics(w io.Writer) {
	if !n.holdsLease() {
		return
	}
	n.mu.Lock()
	usages := n.places.Usages(n.clock.Now())
	n.mu.Unlock()
	for _, u := range usages {
		for _, m := range []struct {
			name  string
			value float64
		}{
			{"cyclamen_reserver_refused_last_second", float64(u.Refused)}, {"cyclamen_reserver_refusals_survived", float64(u.Survived)},
			{"cyclamen_reserver_places", float64(u.Places)}, {"cyclamen_reserver_places_held", float64(u.Held)}, {"cyclamen_reserver_places_used", float64(u.Used)},
		} {
			metrics.WriteGaugeFloat64(w, fmt.Sprintf(`%s{service=%q,server=%q}`, m.name, u.Service, u.Run.ID), m.value)
		}
	}
}

// logBrittleness logs which services have become brittle or stopped to be.
func logBrittleness(log *slog.Logger, changes []reserver.Change) {
	for _, c := range changes {
		if c.Refusals == nil {
			log.Info("backend servers of a service are no longer brittle", "service", c.Service)
			continue
		}
		log.Info("backend servers of a service are brittle", "service", c.Service, "survivedRefusalsPerSecond", float64(*c.Refusals))
	}
}
