package discoverer

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/timer"
)

const (
	// defaultInterval is the time between two readings.
	defaultInterval = 700 * time.Millisecond
	// failurePause is the pause after a reading that failed.
	failurePause = 500 * time.Millisecond
	// vouchFor is how long a word that the listing is current holds.
	vouchFor = 1500 * time.Millisecond
	// maxPages bounds the pages of one reading.
	maxPages = 1000
)

// Options configure a Discoverer.
type Options struct {
	Source describer.Source
	// Interval is the time between two readings; 0 means 700 ms.
	Interval time.Duration
	// Timeout bounds one page; 0 means 1 s.
	Timeout time.Duration
	// OnChange is called with every reading that differs from the one before.
	OnChange func(*Listing)
	Clock    timer.Clock
	Log      *slog.Logger
}

var (
	readings       = metrics.NewCounter("cyclamen_discoverer_readings_total")
	failedReadings = metrics.NewCounter("cyclamen_discoverer_readings_failed_total")
	skippedEntries = metrics.NewCounter("cyclamen_discoverer_entries_skipped_total")
)

// Discoverer keeps the list current.
type Discoverer struct {
	opts    Options
	listing atomic.Pointer[Listing]
	// vouched is when another process last vouched for the listing.
	vouched atomic.Int64
	mu      sync.Mutex // serializes take
	failing bool
}

// New returns a Discoverer without a reading.
func New(opts Options) *Discoverer {
	if opts.Interval <= 0 {
		opts.Interval = defaultInterval
	}
	if opts.Timeout <= 0 {
		opts.Timeout = time.Second
	}
	if opts.Clock == nil {
		opts.Clock = timer.System{}
	}
	if opts.Log == nil {
		opts.Log = slog.Default()
	}
	return &Discoverer{opts: opts}
}

// Listing returns the last reading, or nil before the first.
func (d *Discoverer) Listing() *Listing { return d.listing.Load() }

// Offer takes a reading of another process.
func (d *Discoverer) Offer(l *Listing) {
	l.At = d.opts.Clock.Now()
	d.take(l)
}

// Vouch tells that another process reads the list and has offered its last
// reading.
func (d *Discoverer) Vouch() { d.vouched.Store(d.opts.Clock.Now().UnixNano()) }

// isVouchedFor reports whether another process reads the list.
func (d *Discoverer) isVouchedFor() bool {
	return time.Duration(d.opts.Clock.Now().UnixNano()-d.vouched.Load()) < vouchFor
}

// Run reads the list, while nobody else does, until ctx ends.
func (d *Discoverer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := d.opts.Interval
		if d.listing.Load() == nil || !d.isVouchedFor() {
			if err := d.read(ctx); err != nil {
				pause = failurePause
			}
		}
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-t.C:
		}
		t.Stop()
	}
}

// read takes one reading.
func (d *Discoverer) read(ctx context.Context) error {
	started := d.opts.Clock.Now()
	instances, err := d.readPages(ctx)
	if err != nil {
		failedReadings.Inc()
		if !d.failing && ctx.Err() == nil {
			d.opts.Log.Warn("list of backend servers cannot be read, the last reading stands", "error", err)
		}
		d.failing = true
		return err
	}
	readings.Inc()
	if d.failing {
		d.opts.Log.Info("list of backend servers is read again", "instances", len(instances))
	}
	d.failing = false
	d.take(NewListing(started, instances))
	return nil
}

// readPages reads every page.
func (d *Discoverer) readPages(ctx context.Context) ([]describer.Instance, error) {
	var all []describer.Instance
	name := ""
	for range maxPages {
		pageCtx, cancel := context.WithTimeout(ctx, d.opts.Timeout)
		p, err := d.opts.Source.Page(pageCtx, name)
		cancel()
		if err != nil {
			return nil, err
		}
		skippedEntries.Add(p.Skipped)
		all = append(all, p.Instances...)
		if name = p.Next; name == "" {
			return all, nil
		}
	}
	return nil, fmt.Errorf("the list has more than %d pages: raise the bound", maxPages)
}

// take keeps a reading and tells of a change.
func (d *Discoverer) take(l *Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.listing.Swap(l)
	if before != nil && sameInstances(before.Instances, l.Instances) {
		return
	}
	d.note(before, l)
	if d.opts.OnChange != nil {
		d.opts.OnChange(l)
	}
}

// note logs which instances came, went or began to leave.
func (d *Discoverer) note(before, now *Listing) {
	known := make(map[string]describer.Instance)
	if before != nil {
		for _, in := range before.Instances {
			known[string(in.ID)] = in
		}
	}
	var came, leaving int
	for _, in := range now.Instances {
		old, ok := known[string(in.ID)]
		delete(known, string(in.ID))
		switch {
		case !ok || old.Born != in.Born:
			came++
		case in.Draining && !old.Draining:
			leaving++
		}
	}
	d.opts.Log.Info("backend servers changed", "listed", len(now.Instances), "came", came, "leaving", leaving, "gone", len(known))
}
