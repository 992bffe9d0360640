package discoverer

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/timer"
)

// pages is a Source of named pages.
type pages map[string]describer.Page

func (p pages) Page(_ context.Context, name string) (describer.Page, error) {
	page, ok := p[name]
	if !ok {
		return describer.Page{}, errors.New("no such page")
	}
	return page, nil
}

func TestLaterReadingReplacesListing(t *testing.T) {
	source := pages{
		"":   {Instances: []describer.Instance{{ID: "a"}, {ID: "b"}}, Next: "p2"},
		"p2": {Instances: []describer.Instance{{ID: "c", Draining: true}}},
	}
	var changes int
	d := New(Options{
		Source: source, Clock: timer.NewManual(time.Unix(1, 0)), Log: slog.New(slog.DiscardHandler),
		OnChange: func(*Listing) { changes++ },
	})
	names := func() []identifier.BackendServer {
		var out []identifier.BackendServer
		for _, in := range d.Listing().Instances {
			out = append(out, in.ID)
		}
		return out
	}
	if err := d.read(t.Context()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]identifier.BackendServer{"a", "b", "c"}, names()); diff != "" {
		t.Errorf("first reading differs (-want +got):\n%s", diff)
	}

	if err := d.read(t.Context()); err != nil || changes != 1 {
		t.Errorf("an equal reading gave error %v and %d changes in all, want 1", err, changes)
	}

	delete(source, "p2")
	if err := d.read(t.Context()); err == nil {
		t.Error("a reading without its second page succeeded")
	}
	if got := len(names()); got != 3 {
		t.Errorf("after a failed reading %d instances are listed, want the 3 of the last one", got)
	}

	source[""] = describer.Page{Instances: []describer.Instance{{ID: "b"}}}
	if err := d.read(t.Context()); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]identifier.BackendServer{"b"}, names()); diff != "" {
		t.Errorf("last reading differs (-want +got):\n%s", diff)
	}
}

// TestColdServersAreChanges checks that a listing differs from an earlier one if a
// server has become cold, or is cold for longer than that one said, and not as its
// warm-up passes.
func TestColdServersAreChanges(t *testing.T) {
	start := time.Unix(1000, 0)
	listing := func(after, coldFor time.Duration) *Listing {
		return NewListing(start.Add(after), []describer.Instance{{ID: "a", ColdFor: coldFor}})
	}
	for _, tc := range []struct {
		name          string
		earlier, next *Listing
		same          bool
	}{
		{"still warm", listing(0, 0), listing(time.Second, 0), true},
		{"cold", listing(0, 0), listing(time.Second, 3*time.Second), false},
		{"its time passes", listing(0, 3*time.Second), listing(time.Second, 2100*time.Millisecond), true},
		{"warm again", listing(0, 3*time.Second), listing(4*time.Second, 0), true},
		{"cold again", listing(0, 3*time.Second), listing(2*time.Second, 3*time.Second), false},
	} {
		if tc.next.Equal(tc.earlier) != tc.same {
			t.Errorf("%s: equal is %v, want %v", tc.name, !tc.same, tc.same)
		}
	}
}

// TestNamedTimesAreChanges checks that a listing differs from an earlier one if it names a time, or
// another one, at which a server is taken away, and not as that time passes.
func TestNamedTimesAreChanges(t *testing.T) {
	start := time.Unix(1000, 0)
	listing := func(after, leavesIn time.Duration) *Listing {
		return NewListing(start.Add(after), []describer.Instance{{ID: "a", Draining: true, LeavesIn: leavesIn}})
	}
	for _, tc := range []struct {
		name          string
		earlier, next *Listing
		same          bool
	}{
		{"none", listing(0, 0), listing(time.Second, 0), true},
		{"named", listing(0, 0), listing(time.Second, 3*time.Second), false},
		{"its time passes", listing(0, 3*time.Second), listing(time.Second, 2100*time.Millisecond), true},
		{"the same number", listing(0, 3*time.Second), listing(2*time.Second, 3*time.Second), true},
		{"put off", listing(0, 3*time.Second), listing(time.Second, 3*time.Second+1), false},
		{"brought forward", listing(0, 3*time.Second), listing(time.Second, time.Second), false},
		{"not named any more", listing(0, 3*time.Second), listing(time.Second, 0), true},
	} {
		if tc.next.Equal(tc.earlier) != tc.same {
			t.Errorf("%s: equal is %v, want %v", tc.name, !tc.same, tc.same)
		}
	}
}

// TestOfferedListingsReplaceReadings checks that a confirmed offer replaces a
// reading, and that the list is read again once the confirmation expires.
func TestOfferedListingsReplaceReadings(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	d := New(Options{Source: pages{}, Clock: clock, Log: slog.New(slog.DiscardHandler)})
	offered, err := DecodeListing((&Listing{Instances: []describer.Instance{{ID: "a", Service: "model"}}}).Encode())
	if err != nil {
		t.Fatal(err)
	}
	d.Offer(offered)
	d.Confirm(0)
	if got := d.Listing(); len(got.Instances) != 1 || !got.At.Equal(clock.Now()) {
		t.Errorf("the offer is not applied: %+v", got)
	}
	if !d.isConfirmed() {
		t.Error("the list is read although another process has just done so")
	}
	clock.Advance(defaultConfirmationTTL)
	if d.isConfirmed() {
		t.Error("an expired confirmation still prevents a reading")
	}
}

// TestListingEncodesOneLinePerInstance checks that a listing is unchanged after
// encoding and decoding, whatever the order of its reading, and that instances
// that appear or disappear leave the lines of the others unchanged.
func TestListingEncodesOneLinePerInstance(t *testing.T) {
	instances := func(ids ...string) *Listing {
		var list []describer.Instance
		for _, id := range ids {
			list = append(list, describer.Instance{ID: identifier.BackendServer(id), Service: "model", Slots: 8})
		}
		return NewListing(time.Time{}, list)
	}
	before, after := instances("c", "a", "b", "e"), instances("e", "d", "a", "c")
	for _, l := range []*Listing{before, after, instances()} {
		got, err := DecodeListing(l.Encode())
		if err != nil || !got.Equal(l) {
			t.Errorf("%s: %v", l.Encode(), err)
		}
	}
	was := make(map[string]bool)
	for line := range strings.Lines(string(before.Encode())) {
		was[line] = true
	}
	for line := range strings.Lines(string(after.Encode())) {
		if isNew := strings.Contains(line, `"d"`); was[line] == isNew {
			t.Errorf("line %q: new %v", line, isNew)
		}
	}
}

// TestStartWaitsForOffer checks that a process that has just started leaves the
// list to another one for StartWait, and no longer.
func TestStartWaitsForOffer(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	d := New(Options{Source: pages{}, Clock: clock, StartWait: 2 * time.Second, Log: slog.New(slog.DiscardHandler)})
	d.startedAt = clock.Now()
	if !d.awaitsOffer() {
		t.Error("the list is read at once after a start")
	}
	clock.Advance(2*time.Second - 1)
	if !d.awaitsOffer() {
		t.Error("the list is read before the wait has ended")
	}
	clock.Advance(1)
	if d.awaitsOffer() {
		t.Error("the list is not read after the wait")
	}
	d.startedAt = clock.Now()
	d.Offer(&Listing{})
	if d.awaitsOffer() || !d.isConfirmed() {
		t.Error("an offered listing does not end the wait, or is read again at once")
	}
}

// TestServerListedTwiceIsOne guards against a server that counts twice, and against a
// listing that differs with each reading by the order of two entries.
func TestServerListedTwiceIsOne(t *testing.T) {
	listed := []describer.Instance{
		{ID: "a", Address: "10.0.0.1:80", StartedAtMillis: 1},
		{ID: "a", Address: "10.0.0.2:80", StartedAtMillis: 2},
		{ID: "b", Address: "10.0.0.4:80"},
		{ID: "b", Address: "10.0.0.3:80", Draining: true},
		{ID: "c", Address: "10.0.0.6:80"},
		{ID: "c", Address: "10.0.0.5:80"},
	}
	want := []describer.Instance{listed[1], listed[3], listed[5]}
	for range 2 {
		if diff := cmp.Diff(want, NewListing(time.Time{}, slices.Clone(listed)).Instances); diff != "" {
			t.Errorf("listing differs (-want +got):\n%s", diff)
		}
		slices.Reverse(listed)
	}
}

// slowSource is a Source whose first page comes after another process has offered a listing.
type slowSource struct {
	meanwhile func()
	page      describer.Page
}

func (s slowSource) Page(context.Context, string) (describer.Page, error) {
	s.meanwhile()
	return s.page, nil
}

// TestSlowReadingKeepsNewerOffer guards against calls to a server that is leaving: a reading
// that began before it was listed as that replaces the listing which another process has
// offered since, and stands while that one is confirmed.
func TestSlowReadingKeepsNewerOffer(t *testing.T) {
	var d *Discoverer
	d = New(Options{
		Clock: timer.NewManual(time.Unix(1000, 0)), Log: slog.New(slog.DiscardHandler),
		Source: slowSource{
			meanwhile: func() { d.Offer(&Listing{Instances: []describer.Instance{{ID: "a", Draining: true}}}) },
			page:      describer.Page{Instances: []describer.Instance{{ID: "a"}}},
		},
	})
	if err := d.read(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !d.Listing().Instances[0].Draining {
		t.Error("the server does not count as leaving any more")
	}
}

// TestConfirmedOfferReturns guards against a host that goes on with a reading of its own of
// long ago, while the leading process confirms another listing: servers that came and went
// meanwhile are called for good, and those that went and came are not.
func TestConfirmedOfferReturns(t *testing.T) {
	clock := timer.NewManual(time.Unix(1000, 0))
	source := pages{"": {Instances: []describer.Instance{{ID: "b"}}}}
	var changes []identifier.BackendServer
	d := New(Options{
		Source: source, Clock: clock, Log: slog.New(slog.DiscardHandler),
		OnChange: func(l *Listing) { changes = append(changes, l.Instances[0].ID) },
	})
	d.Confirm(0) // Nothing has been offered yet.
	d.Offer(&Listing{Instances: []describer.Instance{{ID: "a"}}})
	clock.Advance(5 * time.Second)
	if err := d.read(t.Context()); err != nil {
		t.Fatal(err)
	}
	clock.Advance(time.Second)
	d.Confirm(time.Second)
	if got := d.Listing().Instances[0].ID; got != "b" {
		t.Errorf("%s is listed, though its confirmation may be older than the reading", got)
	}
	d.Confirm(time.Second - 1)
	if diff := cmp.Diff([]identifier.BackendServer{"a", "b", "a"}, changes); diff != "" {
		t.Errorf("listings differ (-want +got):\n%s", diff)
	}
}
