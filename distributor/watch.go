package distributor

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"cyclamenhub.org/internal/wire"
)

// Start asks every upstream once, side by side, and takes the newest topics.
// It returns when all have answered or failed.
func (d *Distributor) Start(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, a := range d.opts.Upstreams() {
		wg.Go(func() { _, _ = d.watch(ctx, a, 0) })
	}
	wg.Wait()
}

// Refresh asks one upstream once and takes its newer topics but the ones named,
// which may be large and are not waited for.
func (d *Distributor) Refresh(ctx context.Context, address string, without ...TopicName) error {
	have := slices.DeleteFunc(d.have(), func(t *wire.Topic) bool { return slices.Contains(without, TopicName(t.Name)) })
	for _, name := range without {
		have = append(have, &wire.Topic{Name: string(name), Revision: math.MaxUint64})
	}
	_, err := d.ask(ctx, address, have, 0)
	return err
}

// Run keeps the topics current until ctx ends.
func (d *Distributor) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !d.round(ctx) {
			pause(ctx, retryPause)
		}
	}
}

// round watches the first usable upstream once and reports whether one
// answered.
func (d *Distributor) round(ctx context.Context) bool {
	candidates := d.candidates()
	for _, a := range candidates {
		fresh, err := d.watch(ctx, a, Hold)
		if err == nil && (fresh || len(candidates) == 1) {
			return true
		}
		if err != nil {
			watchesFailed.Inc()
		} else {
			watchesStale.Inc()
		}
		d.pass(a)
	}
	return false
}

// candidates returns the upstreams in order, those that failed lately last.
func (d *Distributor) candidates() []string {
	now := d.opts.Clock.Now()
	var usable, avoided []string
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.opts.Upstreams() {
		if now.Before(d.avoid[a]) {
			avoided = append(avoided, a)
		} else {
			usable = append(usable, a)
		}
	}
	return append(usable, avoided...)
}

// pass passes over an upstream for a while.
func (d *Distributor) pass(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoid[address] = d.opts.Clock.Now().Add(avoidFor)
}

// watch makes one watch and takes its news. It reports whether the upstream's
// own source is fresh.
func (d *Distributor) watch(ctx context.Context, address string, hold time.Duration) (fresh bool, err error) {
	return d.ask(ctx, address, d.have(), hold)
}

// ask makes one watch for what is newer than have, and takes its news.
func (d *Distributor) ask(ctx context.Context, address string, have []*wire.Topic, hold time.Duration) (fresh bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, hold+answerMargin)
	defer cancel()
	req := &wire.WatchRequest{Have: have, Reports: d.outgoing(address), HoldMs: hold.Milliseconds()}
	var resp wire.WatchResponse
	if err := d.opts.Call(ctx, address, WatchMethod, req, &resp); err != nil {
		d.forgetSent()
		return false, err
	}
	if err := d.takeNews(resp.News); err != nil {
		return false, err
	}
	if resp.ConfirmedAgoMs < 0 {
		return false, nil
	}
	ago := time.Duration(resp.ConfirmedAgoMs) * time.Millisecond
	d.Confirm(d.opts.Clock.Now().Add(-ago))
	return ago <= StaleLimit, nil
}

// forgetSent makes the next watch carry every report.
func (d *Distributor) forgetSent() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.sent)
}

// takeNews offers what an upstream sent. After a delta that does not fit, the
// next watch asks for the whole document.
func (d *Distributor) takeNews(news []*wire.Topic) error {
	for _, w := range news {
		t, err := d.topics.decode(w)
		if err != nil {
			deltasRejected.Inc()
			d.setWantWhole(true)
			return err
		}
		if err := d.Offer(t); err != nil {
			return err
		}
	}
	if len(news) > 0 {
		d.setWantWhole(false)
	}
	return nil
}

// have returns what to tell an upstream about the revisions held.
func (d *Distributor) have() []*wire.Topic {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wantWhole {
		return nil
	}
	return d.topics.have()
}

// setWantWhole says whether the next watch asks for whole documents.
func (d *Distributor) setWantWhole(want bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.wantWhole = want
}

// outgoing returns the reports to send to an upstream: those that it does not
// have yet and those that it has not been sent for reportInterval.
func (d *Distributor) outgoing(address string) []*wire.HostReport {
	rs := d.Reports()
	now := d.opts.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*wire.HostReport
	for _, r := range rs {
		last := d.sent[r.Host]
		if last.to == address && last.revision == r.Revision && now.Sub(last.at) < reportInterval {
			continue
		}
		d.sent[r.Host] = sentReport{to: address, revision: r.Revision, at: now}
		out = append(out, encodeReport(now, r))
	}
	return out
}

// pause waits for p or until ctx ends.
func pause(ctx context.Context, p time.Duration) {
	t := time.NewTimer(p)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
