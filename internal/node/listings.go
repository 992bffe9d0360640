package node

import (
	"context"
	"time"

	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/distributor"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/keeper"
)

// listingTopic carries the listing of backend servers that the leading keeper
// reads for all hosts.
const listingTopic distributor.TopicName = "servers"

const (
	// leaderListingInterval is the time between two listings that the leading
	// keeper reads.
	leaderListingInterval = 500 * time.Millisecond
	// listingMaxAge is how long a listing counts as current.
	listingMaxAge = 1200 * time.Millisecond
	// termShift is the position of the term in a listing's revision and in the id
	// of a grant of permits. With the term in the high bits, those of a new leader
	// are higher than those of its predecessors.
	termShift = 32
)

// listingCache is the last listing that a keeper read. Its zero value holds
// none.
type listingCache struct {
	last     *discoverer.Listing
	revision identifier.Revision
	lastRead time.Time
}

// current returns the revision of the listing, or 0 if there is none younger
// than listingMaxAge.
func (l *listingCache) current(now time.Time) uint64 {
	if l.last == nil || now.Sub(l.last.At) > listingMaxAge {
		return 0
	}
	return uint64(l.revision)
}

// readListing reads the list of backend servers if that is due. It publishes
// the listing to all hosts if it differs from the last one or is the first in
// the term.
func (n *keeperNode) readListing(ctx context.Context, lease keeper.Lease) {
	now := n.clock.Now()
	if now.Sub(n.listings.lastRead) < leaderListingInterval {
		return
	}
	n.listings.lastRead = now
	list, err := n.listReader.Read(ctx)
	if err != nil {
		return // The reader logs it, and the last listing stays in force.
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &n.listings
	n.beginWarmUps(n.clock.Now(), lease.Fencing(), list)
	changed := !list.Equal(l.last) || uint64(l.revision)>>termShift != uint64(lease.Fencing())
	l.last = list
	if !changed {
		return
	}
	l.revision = max(l.revision, identifier.Revision(lease.Fencing())<<termShift) + 1
	// Offer returns the error of OnUpdate, which is always nil on a keeper.
	_ = n.dist.Offer(distributor.Topic{Name: listingTopic, Revision: l.revision, Body: list.Encode()})
}
