package distributor

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/timer"
)

// Start fetches the topics of every upstream concurrently and applies the newest
// ones. It returns when all upstreams have responded or failed.
func (d *Distributor) Start(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range d.opts.Upstreams() {
		wg.Go(func() { _, _ = d.watch(ctx, a, 0) })
	}
	wg.Wait()
}

// Refresh fetches and applies the newer topics of one upstream, except the topics
// in without. Excluding large topics keeps the call fast. It returns the error of
// the call, a delta mismatch or the error of OnUpdate.
func (d *Distributor) Refresh(ctx context.Context, address string, without ...TopicName) error {
	have := slices.DeleteFunc(d.have(), func(t *wire.Topic) bool { return slices.Contains(without, TopicName(t.Name)) })
	for _, name := range without {
		have = append(have, &wire.Topic{Name: string(name), Revision: math.MaxUint64})
	}
	_, err := d.fetch(ctx, address, have, 0)
	return err
}

// Run keeps the topics up to date until ctx ends.
func (d *Distributor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.watchOnce(ctx) {
			timer.Sleep(ctx, retryDelay)
		}
	}
}

// watchOnce tries the candidates in order until a watch succeeds, and reports
// whether one did. An upstream with a stale confirmation counts as failed unless
// it is the only candidate.
func (d *Distributor) watchOnce(ctx context.Context) bool {
	candidates := d.candidates()
	for _, a := range candidates {
		fresh, err := d.watch(ctx, a, MaxHold)
		if err == nil && (fresh || len(candidates) == 1) {
			return true
		}
		if err != nil {
			watchesFailed.Inc()
		} else {
			watchesStale.Inc()
		}
		d.backOff(a)
	}
	return false
}

// candidates returns the upstreams in order of preference, with those in back-off
// last.
func (d *Distributor) candidates() []string {
	now := d.opts.Clock.Now()
	var usable, avoided []string
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.opts.Upstreams() {
		if now.Before(d.avoidUntil[a]) {
			avoided = append(avoided, a)
		} else {
			usable = append(usable, a)
		}
	}
	return append(usable, avoided...)
}

// backOff starts the back-off of an upstream.
func (d *Distributor) backOff(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoidUntil[address] = d.opts.Clock.Now().Add(failedUpstreamBackoff)
}

// watch watches an upstream once and applies its updates. It reports whether the
// upstream's confirmation is at most StaleLimit old.
func (d *Distributor) watch(ctx context.Context, address string, hold time.Duration) (fresh bool, err error) {
	return d.fetch(ctx, address, d.have(), hold)
}

// fetch watches an upstream once for topics newer than have and applies its
// updates. It reports whether the upstream's confirmation is at most StaleLimit
// old.
func (d *Distributor) fetch(ctx context.Context, address string, have []*wire.Topic, hold time.Duration) (fresh bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, hold+responseMargin)
	defer cancel()
	req := &wire.WatchRequest{Have: have, Reports: d.reportsFor(address), HoldMs: hold.Milliseconds(), AcceptsPacked: true}
	var resp wire.WatchResponse
	if err := d.opts.Call(ctx, address, WatchMethod, req, &resp); err != nil {
		d.clearSentReports()
		return false, err
	}
	if err := d.applyUpdates(resp.News); err != nil {
		return false, err
	}
	if resp.ConfirmedAgoMs < 0 {
		return false, nil
	}
	age := time.Duration(resp.ConfirmedAgoMs) * time.Millisecond
	d.Confirm(d.opts.Clock.Now().Add(-age))
	return age <= StaleLimit, nil
}

// clearSentReports makes the next watch send all reports.
func (d *Distributor) clearSentReports() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.sentReports)
}

// applyUpdates offers the topics that an upstream sent. After a delta mismatch the
// next watch requests full documents.
func (d *Distributor) applyUpdates(updates []*wire.Topic) error {
	for _, w := range updates {
		t, err := d.topics.decode(w)
		if err != nil {
			deltasRejected.Inc()
			d.setNeedFullDocuments(true)
			return err
		}
		if err := d.Offer(t); err != nil {
			return err
		}
	}
	if len(updates) > 0 {
		d.setNeedFullDocuments(false)
	}
	return nil
}

// have returns the held revisions to send to an upstream. It returns none if full
// documents are needed.
func (d *Distributor) have() []*wire.Topic {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.needFullDocuments {
		return nil
	}
	return d.topics.have()
}

// setNeedFullDocuments sets whether the next watch requests full documents.
func (d *Distributor) setNeedFullDocuments(need bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.needFullDocuments = need
}

// reportsFor returns the reports to send to an upstream: those that changed, those
// last sent to another upstream and those last sent at least reportInterval ago. It
// records them as sent.
func (d *Distributor) reportsFor(address string) []*wire.HostReport {
	rs := d.Reports()
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*wire.HostReport
	for _, r := range rs {
		last := d.sentReports[r.Host]
		if last.upstream == address && last.revision == r.Revision && now.Sub(last.at) < reportInterval {
			continue
		}
		d.sentReports[r.Host] = sentReport{upstream: address, revision: r.Revision, at: now}
		out = append(out, encodeReport(now, r))
	}
	return out
}
