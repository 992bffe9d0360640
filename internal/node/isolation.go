package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cyclamenhub.org/distributor"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/isolator"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/timer"
)

// isolationTopic carries the isolated parts of prompts.
const isolationTopic distributor.TopicName = "isolated"

const (
	// decisionInterval is the time between two decisions on isolated parts while there
	// is evidence, idleDecisionInterval the time otherwise.
	decisionInterval     = 50 * time.Millisecond
	idleDecisionInterval = 200 * time.Millisecond
	// hearingMargin is how much longer than the time between two syncs of a host the
	// leader waits for reports of calls that survived. The hosts are asked about a
	// suspect from its first end on.
	hearingMargin = 50 * time.Millisecond
	// gatherTime is how long a host collects the calls that a server's end broke
	// before it reports them, and the leader such reports before it records them: all
	// hosts find out within a few milliseconds.
	gatherTime = 5 * time.Millisecond
)

// recordEvidence records the report of a host and returns the suspects about which
// the leader of the term asks the hosts. The caller holds mu.
func (n *keeperNode) recordEvidence(now time.Time, term identifier.FencingNumber, host identifier.Host, r isolator.Report) []isolator.Key {
	n.enterTerm(term)
	n.investigator.Record(now, host, r)
	if n.investigator.HasNews() {
		n.endReported()
	}
	return n.investigator.Suspects()
}

// endReported tells runIsolation that there are ends to record.
func (n *keeperNode) endReported() {
	wake(n.newEnds)
}

// unrecordedEnds returns the events that record what hosts reported of ends. A keeper
// that does not lead returns none.
func (n *keeperNode) unrecordedEnds() []isolator.Event {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leadsIsolation() {
		return nil
	}
	return n.investigator.Unrecorded(now, n.machine.Isolated(), n.hearing(now))
}

// proposeAll proposes events that do not depend on each other at the same time, and
// returns when all are done.
func (n *keeperNode) proposeAll(ctx context.Context, events []isolator.Event) {
	var wg sync.WaitGroup
	for _, ev := range events {
		wg.Go(func() {
			if err := n.propose(ctx, reducer.Isolation{Event: ev}); err != nil {
				n.log.Warn("decision on an isolation not proposed", "error", err)
			}
		})
	}
	wg.Wait()
}

// leadsIsolation reports whether this keeper holds the lease of the term of the
// Investigator. The caller holds mu.
func (n *keeperNode) leadsIsolation() bool {
	lease, err := n.keeper.Load().Lease()
	return err == nil && n.leadTerm == lease.Fencing()
}

// hearing returns the time within which every host has reported. The caller holds mu.
func (n *keeperNode) hearing(now time.Time) time.Duration {
	return syncPeriod(n.divider.Hosts(now)) + hearingMargin
}

// runIsolation proposes the decisions on isolated parts that are due while this
// keeper leads, until ctx ends. Ends are recorded when hosts report them, since all
// processes may restart before the next decision; those reported while proposals are
// under way are recorded together after them.
func (n *keeperNode) runIsolation(ctx context.Context) {
	next := time.NewTimer(idleDecisionInterval)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.newEnds:
			timer.Sleep(ctx, gatherTime)
			n.proposeAll(ctx, n.unrecordedEnds())
		case <-next.C:
			events, isIdle := n.dueIsolation()
			n.proposeAll(ctx, events)
			next.Reset(untilDecision(isIdle))
		}
	}
}

// untilDecision returns the time to the next decision.
func untilDecision(isIdle bool) time.Duration {
	if isIdle {
		return idleDecisionInterval
	}
	return decisionInterval
}

// dueIsolation returns the decisions that are due, and logs them with their
// evidence, and whether none is due soon. A keeper that does not lead returns none.
func (n *keeperNode) dueIsolation() (events []isolator.Event, isIdle bool) {
	now := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leadsIsolation() {
		return nil, true
	}
	events = n.investigator.Decide(now, n.machine.Isolated(), n.hearing(now), n.listedVersions)
	for _, ev := range events {
		switch ev := ev.(type) {
		case isolator.Isolate:
			n.log.Warn("isolated", "service", ev.Service, "what", ev.Subject(), "versions", ev.Versions, "endedServers", ev.Servers)
		case isolator.Probe:
			n.log.Info("isolation probed", "service", ev.Service, "what", ev.Subject(), "at", ev.Host)
		case isolator.Release:
			n.log.Info("isolation ended", "service", ev.Service, "what", ev.Subject(), "why", ev.Reason)
		}
	}
	return events, n.investigator.IsIdle()
}

// listedVersions returns the versions of a service in the last listing, or nil if
// there is no listing. The caller holds mu.
func (n *keeperNode) listedVersions(s identifier.Service) []identifier.Version {
	if n.listings.last == nil {
		return nil
	}
	return slices.Collect(maps.Keys(n.listings.last.Versions(s)))
}

// publishIsolation passes the isolated parts to all hosts. The caller holds mu.
func (n *keeperNode) publishIsolation(b isolator.Book) {
	// Offer returns the error of OnUpdate, which is always nil on a keeper.
	_ = n.dist.Offer(distributor.Topic{Name: isolationTopic, Revision: identifier.Revision(b.Sequence), Body: b.Encode()})
}

// applyIsolation puts the isolated parts of a topic in force.
func (e *entry) applyIsolation(body []byte) error {
	book, err := isolator.DecodeBook(body)
	if err != nil {
		return err
	}
	e.log.Info("isolations changed", "inForce", e.isolation.Apply(book), "sequence", book.Sequence)
	return nil
}

// evidenceReady tells runEvidence that there is new evidence for the leader.
func (e *entry) evidenceReady() {
	wake(e.newEvidence)
}

// runEvidence reports new evidence to the leader at once, until ctx ends.
func (e *entry) runEvidence(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.newEvidence:
		}
		time.Sleep(gatherTime)
		e.syncPart(ctx, e.placer.HasPermitNews())
	}
}

// decideAlone isolates parts by what this host knows itself while it has no lease.
func (e *entry) decideAlone() {
	if e.hasLease() {
		e.isolation.EndAlone()
		return
	}
	for _, ev := range e.isolation.DecideAlone() {
		e.log.Warn("isolated without a leader", "service", ev.Service, "what", ev.Subject(), "endedServers", ev.Servers)
	}
}

// encodeEvidence writes a report into a sync request.
func encodeEvidence(req *wire.SyncRequest, r isolator.Report) {
	for _, e := range r.Ends {
		w := &wire.ServerEnd{
			Server: string(e.Server.ID), Incarnation: e.Server.Incarnation, Service: string(e.Service), Version: string(e.Version),
			AgeMillis: encodeMillis(e.Age), Suspects: make(map[string]uint32, len(e.Suspects)),
		}
		for id, position := range e.Suspects {
			w.Suspects[string(id)] = uint32(position)
		}
		req.Ends = append(req.Ends, w)
	}
	req.Survivals, req.Refusals = encodeSightings(r.Survivals), encodeSightings(r.Refusals)
}

// decodeEvidence returns the report in a sync request.
func decodeEvidence(req *wire.SyncRequest) isolator.Report {
	r := isolator.Report{Survivals: decodeSightings(req.GetSurvivals()), Refusals: decodeSightings(req.GetRefusals())}
	for _, w := range req.GetEnds() {
		e := isolator.End{
			Server:  serverRun(w.GetServer(), w.GetIncarnation()),
			Service: identifier.Service(w.GetService()), Version: identifier.Version(w.GetVersion()),
			Age:      decodeMillis(w.GetAgeMillis()),
			Suspects: make(map[identifier.PartID]int, len(w.GetSuspects())),
		}
		for id, position := range w.GetSuspects() {
			e.Suspects[identifier.PartID(id)] = int(position)
		}
		r.Ends = append(r.Ends, e)
	}
	return r
}

// encodeSightings converts sightings to protobuf.
func encodeSightings(list []isolator.Sighting) []*wire.PartSighting {
	out := make([]*wire.PartSighting, len(list))
	for i, s := range list {
		out[i] = &wire.PartSighting{Service: string(s.Service), Part: string(s.Part), AgeMillis: encodeMillis(s.Age)}
	}
	return out
}

// decodeSightings converts sightings from protobuf.
func decodeSightings(list []*wire.PartSighting) []isolator.Sighting {
	out := make([]isolator.Sighting, len(list))
	for i, w := range list {
		out[i] = isolator.Sighting{Key: isolator.Key{Service: identifier.Service(w.GetService()), Part: identifier.PartID(w.GetPart())}, Age: decodeMillis(w.GetAgeMillis())}
	}
	return out
}

// encodeSuspects converts keys to protobuf.
func encodeSuspects(keys []isolator.Key) []*wire.PromptPart {
	out := make([]*wire.PromptPart, len(keys))
	for i, k := range keys {
		out[i] = &wire.PromptPart{Service: string(k.Service), Part: string(k.Part)}
	}
	return out
}

// decodeSuspects converts keys from protobuf.
func decodeSuspects(list []*wire.PromptPart) []isolator.Key {
	out := make([]isolator.Key, len(list))
	for i, w := range list {
		out[i] = isolator.Key{Service: identifier.Service(w.GetService()), Part: identifier.PartID(w.GetPart())}
	}
	return out
}
