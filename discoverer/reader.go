package discoverer

import (
	"context"
	"fmt"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/describer"
)

const (
	// maxPages and maxInstances bound one reading.
	maxPages     = 400
	maxInstances = 10_000
)

var (
	readings       = metrics.NewCounter("cyclamen_discoverer_readings_total")
	failedReadings = metrics.NewCounter("cyclamen_discoverer_readings_failed_total")
	skippedEntries = metrics.NewCounter("cyclamen_discoverer_entries_skipped_total")
	// badTimes are the entries that say in a way that cannot be used when their server is taken
	// away.
	badTimes = metrics.NewCounter("cyclamen_discoverer_bad_times_total")
	// outdatedReadings are those dropped, since another process has offered a listing
	// meanwhile.
	outdatedReadings = metrics.NewCounter("cyclamen_discoverer_readings_outdated_total")
)

// EndlessListError reports that the pages of the list do not end.
type EndlessListError struct {
	// Pages and Instances were read until then.
	Pages, Instances int
}

// Error returns the message with the remedy.
func (e *EndlessListError) Error() string {
	return fmt.Sprintf("list of backend servers does not end after %d pages with %d instances: read it again", e.Pages, e.Instances)
}

// Reader reads whole listings. It logs only changes: whether the list can be read, and
// how many of its entries cannot. It is safe for concurrent use.
type Reader struct {
	opts Options

	mu      sync.Mutex
	failing bool
	skipped int
	// badTimes is the number of entries of the last reading whose time cannot be used.
	badTimes int
}

// NewReader returns a Reader. It uses the Source, Timeout, Clock and Log of the options.
func NewReader(opts Options) *Reader { return &Reader{opts: opts.withDefaults()} }

// Read reads all pages of the list.
func (r *Reader) Read(ctx context.Context) (*Listing, error) {
	started := r.opts.Clock.Now()
	all, err := r.readPages(ctx)
	if err != nil {
		failedReadings.Inc()
		if ctx.Err() == nil {
			r.logFailure(err)
		}
		return nil, err
	}
	readings.Inc()
	skippedEntries.Add(all.Skipped)
	badTimes.Add(all.BadTimes)
	r.logSuccess(all)
	return NewListing(started, all.Instances), nil
}

// logFailure logs a reading that failed after one that did not.
func (r *Reader) logFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failing {
		r.opts.Log.Warn("list of backend servers cannot be read, the last reading stands", "error", err)
	}
	r.failing = true
}

// logSuccess logs a reading that did not fail after one that did, and a change of the
// number of entries that name no server or hold a time that cannot be used.
func (r *Reader) logSuccess(all *describer.Page) {
	r.mu.Lock()
	defer r.mu.Unlock()
	instances := len(all.Instances)
	if r.failing {
		r.opts.Log.Info("list of backend servers can be read again", "instances", instances)
	}
	if all.Skipped != r.skipped {
		r.opts.Log.Warn("entries of the list name no backend server", "skipped", all.Skipped, "instances", instances)
	}
	if all.BadTimes != r.badTimes {
		r.opts.Log.Warn("entries of the list say in no usable way when their servers are taken away", "entries", all.BadTimes, "instances", instances)
	}
	r.failing, r.skipped, r.badTimes = false, all.Skipped, all.BadTimes
}

// readPages reads all pages of the list and returns them as one.
func (r *Reader) readPages(ctx context.Context) (*describer.Page, error) {
	var all describer.Page
	name := ""
	read := make(map[string]bool)
	for len(read) < maxPages && len(all.Instances) <= maxInstances && !read[name] {
		read[name] = true
		p, err := r.readPage(ctx, name)
		if err != nil {
			return nil, err
		}
		all.Skipped += p.Skipped
		all.BadTimes += p.BadTimes
		all.Instances = append(all.Instances, p.Instances...)
		if name = p.Next; name == "" {
			return &all, nil
		}
	}
	return nil, &EndlessListError{Pages: len(read), Instances: len(all.Instances)}
}

// readPage reads one page.
func (r *Reader) readPage(ctx context.Context, name string) (describer.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	return r.opts.Source.Page(ctx, name)
}
