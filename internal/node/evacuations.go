package node

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/distributor"
	"cyclamenhub.org/evacuator"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/permitter"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
)

// Evacuate proposes the start or the end of an evacuation to the control log. It
// implements platform.Control.
func (n *keeperNode) Evacuate(ctx context.Context, d identifier.FailureDomain, start bool) error {
	if !slices.Contains(n.cfg.Domains, d) {
		return refuser.NotRun(refuser.NotFound, fmt.Sprintf("the failure domain %q is unknown", d), "name one of the settings")
	}
	request := evacuator.Request{At: n.clock.Now()}
	if start {
		return n.propose(ctx, reducer.Evacuation{Event: evacuator.Start{Domain: d, Request: request}})
	}
	return n.propose(ctx, reducer.Evacuation{Event: evacuator.End{Domain: d, Request: request}})
}

// Evacuated returns the evacuated failure domains. It implements platform.Control.
func (n *keeperNode) Evacuated(ctx context.Context) ([]identifier.FailureDomain, error) {
	v, err := n.readState(ctx)
	return v.Evacuated.Domains(), err
}

// publishEvacuations passes the evacuated failure domains to all hosts. The servers
// of a domain whose evacuation has ended may be cold. The caller holds mu.
func (n *keeperNode) publishEvacuations(b evacuator.Book) {
	for _, d := range b.Withdrawn(&n.evacuated) {
		n.warmUpDomain(d, n.clock.Now())
	}
	n.evacuated = b
	n.log.Info("evacuations changed", "failureDomains", b.Domains(), "sequence", b.Sequence)
	// Offer returns the error of OnUpdate, which is always nil on a keeper.
	_ = n.dist.Offer(distributor.Topic{Name: distributor.EvacuationTopic, Revision: identifier.Revision(b.Sequence), Body: b.Encode()})
}

// warmUpDomain records with the issuer of permits that the listed servers of a
// failure domain may be cold. The caller holds mu.
func (n *keeperNode) warmUpDomain(d identifier.FailureDomain, now time.Time) {
	if n.listings.last == nil {
		return
	}
	list := &discoverer.Listing{}
	for _, in := range n.listings.last.Instances {
		if in.FailureDomain == d {
			in.ColdFor = n.warmUpTime(in.Service)
			list.Instances = append(list.Instances, in)
		}
	}
	n.beginWarmUps(now, n.leadTerm, list)
}

// warmUpTime returns how long a server of a service is cold after its start. The
// caller holds mu.
func (n *keeperNode) warmUpTime(s identifier.Service) time.Duration {
	if n.document == nil {
		return 0
	}
	for i := range n.document.Services {
		if sv := &n.document.Services[i]; sv.Name == s && sv.WarmUp != nil {
			return sv.WarmUp.Time
		}
	}
	return 0
}

// coldLimits returns the limits of cold servers by service. The caller holds mu.
func (n *keeperNode) coldLimits() map[identifier.Service]identifier.RequestRate {
	limits := make(map[identifier.Service]identifier.RequestRate)
	if n.document == nil {
		return limits
	}
	for _, s := range n.document.Services {
		if s.WarmUp != nil {
			limits[s.Name] = permitter.WarmUpLimit(*s.WarmUp, n.cfg.Bounds.WarmUp)
		}
	}
	return limits
}

// applyEvacuations puts the evacuations of a topic in force.
func (e *entry) applyEvacuations(body []byte) error {
	book, err := evacuator.DecodeBook(body)
	if err != nil {
		return err
	}
	withdrawn := book.Withdrawn(&e.evacuated)
	e.placer.SetEvacuated(book.Domains(), withdrawn)
	e.evacuated = *book
	e.log.Info("evacuations changed", "failureDomains", book.Domains(), "withdrawn", withdrawn, "sequence", book.Sequence)
	return nil
}
