package node

import (
	"context"
	"fmt"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/distributor"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/keeper"
)

// listingTopic carries the listing of backend servers that the leading keeper
// reads for all hosts.
const listingTopic distributor.TopicName = "servers"

const (
	// readInterval is the time between two readings of the leading keeper.
	readInterval = 500 * time.Millisecond
	// currentFor is how long a reading counts as current.
	currentFor = 1200 * time.Millisecond
	// listPages bounds the pages of one reading.
	listPages = 100
	// termShift is how far the term is shifted in a listing's revision, so that a
	// new leader's readings are newer than those before.
	termShift = 32
)

// listings is what a leading keeper has read of the list. Its zero value has
// read nothing.
type listings struct {
	last     *discoverer.Listing
	revision identifier.Revision
	asked    time.Time
}

// current returns the revision of a reading that is recent, or 0.
func (l *listings) current(now time.Time) uint64 {
	if l.last == nil || now.Sub(l.last.At) > currentFor {
		return 0
	}
	return uint64(l.revision)
}

// readListing reads the list where that is due and offers it to all hosts.
func (n *keeperNode) readListing(ctx context.Context, lease keeper.Lease) {
	now := n.clock.Now()
	if now.Sub(n.listings.asked) < readInterval {
		return
	}
	n.listings.asked = now
	list, err := n.readList(ctx)
	if err != nil {
		n.log.Warn("list of backend servers not read", "error", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &n.listings
	changed := !list.Same(l.last) || uint64(l.revision)>>termShift != uint64(lease.Fencing())
	l.last = list
	if !changed {
		return
	}
	l.revision = max(l.revision, identifier.Revision(lease.Fencing())<<termShift) + 1
	// OnNews of a keeper accepts everything.
	_ = n.dist.Offer(distributor.Topic{Name: listingTopic, Revision: l.revision, Body: list.Encode()})
}

// readList reads the whole list of backend servers.
func (n *keeperNode) readList(ctx context.Context) (*discoverer.Listing, error) {
	started := n.clock.Now()
	var all []describer.Instance
	name := ""
	for range listPages {
		pageCtx, cancel := context.WithTimeout(ctx, dutyTimeout)
		p, err := n.client.Page(pageCtx, name)
		cancel()
		if err != nil {
			return nil, err
		}
		all = append(all, p.Instances...)
		if name = p.Next; name == "" {
			return discoverer.NewListing(started, all), nil
		}
	}
	return nil, fmt.Errorf("the list has more than %d pages: raise the bound", listPages)
}
