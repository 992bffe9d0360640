package node

import (
	"context"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/keeper"
	"cyclamenhub.org/platform"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/scaler"
)

const (
	// dutyInterval is the time between two runs of the duties.
	dutyInterval = 250 * time.Millisecond
	// dutyTimeout bounds one call to the platform.
	dutyTimeout = 800 * time.Millisecond
	// reportRetryPeriod is how long after the end of a window its report is
	// retried.
	reportRetryPeriod = 20 * time.Second
)

// firstFencing is the fencing number of the first leader of a group.
const firstFencing identifier.FencingNumber = 1

// duties is the state of the keeper that holds the duties. Only runDuties uses
// it.
type duties struct {
	// leaderSince is when runDuties first found that this keeper leads in the
	// term. It is zero while the keeper does not lead.
	leaderSince time.Time
	term        identifier.FencingNumber
	reported    map[describer.Window]bool
	scaler      *scaler.Scaler
	lastPlan    time.Time
}

// runDuties performs the duties while this keeper leads, until ctx ends. A new
// leader reports and orders nothing until the lease of every former one has
// expired.
func (n *keeperNode) runDuties(ctx context.Context) {
	repeat(ctx, dutyInterval, func() {
		lease, err := n.keeper.Load().Lease()
		if err != nil {
			n.duties = duties{}
			return
		}
		if n.duties.term != lease.Fencing() {
			n.beginDuties(lease)
		}
		n.readListing(ctx, lease)
		n.closeWindows(ctx)
		if n.mayAct(lease) {
			n.reportWindows(ctx, lease)
			n.orderServers(ctx, lease)
		}
	})
}

// beginDuties resets the duties for a new term.
func (n *keeperNode) beginDuties(lease keeper.Lease) {
	now := n.clock.Now()
	n.duties = duties{
		leaderSince: now, term: lease.Fencing(), reported: make(map[describer.Window]bool),
		scaler: scaler.New(lease.Fencing() == firstFencing),
	}
	n.mu.Lock()
	n.ledger.Begin(now)
	n.mu.Unlock()
	n.log.Info("holding the duties after the former lease", "fencing", lease.Fencing(), "wait", n.cfg.Bounds.DutyLease)
}

// mayAct reports whether the lease of every former leader has expired. The
// first leader of a group has no predecessor.
func (n *keeperNode) mayAct(lease keeper.Lease) bool {
	return lease.Fencing() == firstFencing || n.clock.Now().Sub(n.duties.leaderSince) >= n.cfg.Bounds.DutyLease
}

// closingWindow is a window that is due, with its counts, the number of hosts
// that reported them and the number of hosts that did not.
type closingWindow struct {
	describer.Window
	counts            describer.Counts
	reported, missing int
}

// closeWindows proposes the windows that are due to the control log.
func (n *keeperNode) closeWindows(ctx context.Context) {
	var last describer.Window
	if ws := n.view().Windows; len(ws) > 0 {
		last = ws[len(ws)-1].Window
	}
	now := n.clock.Now()
	n.mu.Lock()
	due := n.ledger.Due(now, last)
	closing := make([]closingWindow, len(due))
	for i, w := range due {
		closing[i].Window, closing[i].counts = w, n.ledger.Sum(w)
		closing[i].reported, closing[i].missing = n.ledger.Hosts(w, now)
	}
	n.mu.Unlock()
	for _, w := range closing {
		if err := n.propose(ctx, reducer.CloseWindow{Window: w.Window, Counts: w.counts, At: now}); err != nil {
			n.log.Warn("window not closed", "window", w.Window, "error", err)
			return
		}
		n.log.Info("window closed", "window", w.Window, "calls", w.counts.Total(), "hosts", w.reported, "silent", w.missing)
	}
}

// reportWindows reports the closed windows that this keeper has not reported in
// its term.
func (n *keeperNode) reportWindows(ctx context.Context, lease keeper.Lease) {
	for _, w := range n.view().Windows {
		if n.duties.reported[w.Window] || n.clock.Now().Sub(w.Window.End(n.cfg.Bounds.Window)) > reportRetryPeriod {
			continue
		}
		err := n.callWithinLease(ctx, lease, func(ctx context.Context) error {
			return n.client.ReportUse(ctx, lease.Fencing(), w.Window, w.Counts)
		})
		if err != nil {
			n.log.Warn("window not reported", "window", w.Window, "error", err)
			return
		}
		n.duties.reported[w.Window] = true
		n.log.Info("window reported", "window", w.Window, "customers", len(w.Counts), "fencing", lease.Fencing())
	}
}

// callWithinLease runs call with a context that ends with the lease, or after
// dutyTimeout.
func (n *keeperNode) callWithinLease(ctx context.Context, lease keeper.Lease, call func(context.Context) error) error {
	if err := lease.Check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, min(dutyTimeout, lease.Until().Sub(n.clock.Now())))
	defer cancel()
	return call(ctx)
}

// orderServers sends the orders for backend servers that are due. It orders
// nothing before a document is known and a current listing has been read.
func (n *keeperNode) orderServers(ctx context.Context, lease keeper.Lease) {
	d := &n.duties
	now := n.clock.Now()
	if now.Sub(d.lastPlan) < scaler.Interval {
		return
	}
	n.mu.Lock()
	document := n.document
	n.mu.Unlock()
	if document == nil {
		return
	}
	d.lastPlan = now
	n.mu.Lock()
	list, fresh := n.listings.last, n.listings.current(now) != 0
	loads := n.serviceLoads(now, list, document.Services)
	d.scaler.SetEvacuated(n.evacuated.Domains())
	n.mu.Unlock()
	if !fresh {
		return
	}
	for _, o := range d.scaler.Plan(now, document.Services, list, loads, candidatesOf(n.view(), document.Services)) {
		err := n.callWithinLease(ctx, lease, func(ctx context.Context) error {
			return n.client.OrderServers(ctx, lease.Fencing(), o.Service, o.FailureDomain, o.Reclaimable, o.Count)
		})
		d.scaler.RecordResult(now, o, err == nil, platform.IsUnavailable(err))
		n.log.Info("backend servers ordered", "service", o.Service, "failureDomain", o.FailureDomain,
			"reclaimable", o.Reclaimable, "count", o.Count, "why", o.Why, "fencing", lease.Fencing(), "error", err)
	}
}
