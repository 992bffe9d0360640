package discoverer

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/timer"
)

const (
	// defaultInterval is the pause between two readings.
	defaultInterval = 700 * time.Millisecond
	// failureDelay is the pause after a reading that failed.
	failureDelay = 500 * time.Millisecond
	// defaultConfirmationTTL is how long a confirmation that the listing is
	// current remains valid unless Options say otherwise.
	defaultConfirmationTTL = 1500 * time.Millisecond
	// offerPollInterval is the time between two checks for the first listing that
	// another process offers.
	offerPollInterval = 100 * time.Millisecond
)

// Options configure a Discoverer.
type Options struct {
	Source describer.Source
	// Interval is the pause between two readings; 0 means 700 ms.
	Interval time.Duration
	// StartWait is how long a process that has just started waits for a listing
	// that another process offers before it reads the list itself.
	StartWait time.Duration
	// ConfirmationTTL is how long a confirmation remains valid; 0 means 1.5 s.
	ConfirmationTTL time.Duration
	// Timeout bounds the time to read one page; 0 means 1 s.
	Timeout time.Duration
	// OnChange is called with every listing that differs from the previous one.
	OnChange func(*Listing)
	Clock    timer.Clock
	Log      *slog.Logger
}

// withDefaults returns the options with defaults for those that are not set.
func (o Options) withDefaults() Options {
	if o.Interval <= 0 {
		o.Interval = defaultInterval
	}
	if o.ConfirmationTTL <= 0 {
		o.ConfirmationTTL = defaultConfirmationTTL
	}
	if o.Timeout <= 0 {
		o.Timeout = time.Second
	}
	if o.Clock == nil {
		o.Clock = timer.System{}
	}
	if o.Log == nil {
		o.Log = slog.Default()
	}
	return o
}

// Discoverer keeps a listing current.
type Discoverer struct {
	opts    Options
	listing atomic.Pointer[Listing]
	// confirmedAt is when another process last confirmed the listing, in
	// nanoseconds since 1970.
	confirmedAt atomic.Int64
	reader      *Reader

	mu sync.Mutex // serializes changes of the listing and guards the fields below
	// offers counts the listings that other processes have offered or, after a reading
	// of this one, confirmed. offered is the last of them, or nil.
	offers  int
	offered *Listing

	// startedAt is when Run was called.
	startedAt time.Time
}

// New returns a Discoverer that has no listing yet.
func New(opts Options) *Discoverer {
	opts = opts.withDefaults()
	return &Discoverer{opts: opts, reader: NewReader(opts)}
}

// Listing returns the latest listing, or nil before the first.
func (d *Discoverer) Listing() *Listing { return d.listing.Load() }

// Offer applies a listing that another process has read, and confirms it.
func (d *Discoverer) Offer(l *Listing) {
	l.At = d.opts.Clock.Now()
	d.mu.Lock()
	d.offered = l
	d.applyOffered()
	d.mu.Unlock()
	d.Confirm(0)
}

// applyOffered puts the offered listing in force. The caller holds mu.
func (d *Discoverer) applyOffered() {
	d.offers++
	d.apply(d.offered, "offer")
}

// Confirm records that another process has read the list not longer than the given time
// ago, and found what it has offered last. That replaces an older reading of this process.
func (d *Discoverer) Confirm(age time.Duration) {
	now := d.opts.Clock.Now()
	d.confirmedAt.Store(now.UnixNano())
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.listing.Load(); d.offered != nil && l != d.offered && now.Sub(l.At) > age {
		d.applyOffered()
	}
}

// isConfirmed reports whether another process has confirmed the listing within
// the ConfirmationTTL.
func (d *Discoverer) isConfirmed() bool {
	return time.Duration(d.opts.Clock.Now().UnixNano()-d.confirmedAt.Load()) < d.opts.ConfirmationTTL
}

// awaitsOffer reports whether the process has started less than StartWait ago and
// has no listing yet.
//
// It answers the start of many processes at once, at first or after a loss of
// power: each of them would read the whole list, although one process reads it
// for all as soon as a leader is elected.
func (d *Discoverer) awaitsOffer() bool {
	return d.listing.Load() == nil && d.opts.Clock.Now().Sub(d.startedAt) < d.opts.StartWait
}

// Run reads the list until ctx ends. It skips readings while another process
// confirms the listing.
func (d *Discoverer) Run(ctx context.Context) {
	d.startedAt = d.opts.Clock.Now()
	for ctx.Err() == nil {
		pause := d.opts.Interval
		switch {
		case d.awaitsOffer():
			pause = offerPollInterval
		case d.listing.Load() == nil, !d.isConfirmed():
			if err := d.read(ctx); err != nil {
				pause = failureDelay
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

// read reads the list once and applies the listing. A listing that another process has
// offered meanwhile is newer and stands: this reading may have begun long before.
func (d *Discoverer) read(ctx context.Context) error {
	before := d.offerCount()
	l, err := d.reader.Read(ctx)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.offers != before {
		outdatedReadings.Inc()
		return nil
	}
	d.apply(l, "reading")
	return nil
}

// offerCount returns the number of listings that other processes have offered.
func (d *Discoverer) offerCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.offers
}

// apply replaces the listing and reports a change. The caller holds mu.
func (d *Discoverer) apply(l *Listing, source string) {
	before := d.listing.Swap(l)
	if l.Equal(before) {
		return
	}
	d.logChange(before, l, source)
	if d.opts.OnChange != nil {
		d.opts.OnChange(l)
	}
}

// logChange logs how many instances appeared, disappeared or began to drain, and where the
// listing comes from.
func (d *Discoverer) logChange(before, now *Listing, source string) {
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
		case !ok || old.StartedAtMillis != in.StartedAtMillis:
			came++
		case in.Draining && !old.Draining:
			leaving++
		}
	}
	d.opts.Log.Info("backend servers changed", "listed", len(now.Instances), "came", came, "leaving", leaving, "gone", len(known), "source", source)
}
