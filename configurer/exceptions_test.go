package configurer

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// readFleet returns the fleet in testdata/fleet.json.
func readFleet(t *testing.T) *Fleet {
	t.Helper()
	b, err := os.ReadFile("testdata/fleet.json")
	if err != nil {
		t.Fatal(err)
	}
	f, err := DecodeFleet(b)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestExceptionsOverrideUntilTheyEnd(t *testing.T) {
	f := readFleet(t)
	callNight := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	for _, tt := range []struct {
		name string
		now  time.Time
		want float64
	}{
		{"before the end", callNight.Add(-time.Nanosecond), 60},
		{"at the end", callNight, 20},
		{"in another zone before the end", callNight.Add(-time.Minute).In(time.FixedZone("CET", 3600)), 60},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d, err := f.Effective(tt.now)
			if err != nil {
				t.Fatal(err)
			}
			want := *f.Defaults.clone()
			want.Customers[0].RequestsPerSecond = tt.want
			want.Limits.BodyBytes = 4194304
			if diff := cmp.Diff(&want, d); diff != "" {
				t.Errorf("effective defaults (-want +got):\n%s", diff)
			}
		})
	}
	if next, ok := f.NextEnd(callNight.Add(-time.Hour)); !ok || !next.Equal(callNight) {
		t.Errorf("next end is %v, want %v", next, callNight)
	}
	if _, ok := f.NextEnd(callNight); ok {
		t.Error("an exception ends after the last end")
	}
}

func TestExceptionsDoNotChangeDefaults(t *testing.T) {
	document, err := os.ReadFile("testdata/fleet.json")
	if err != nil {
		t.Fatal(err)
	}
	f := readFleet(t)
	if _, err := f.Effective(time.Time{}); err != nil {
		t.Fatal(err)
	}
	if changes := Diff(document, f.Encode()); len(changes) != 0 {
		t.Errorf("decoding and applying changed the document: %s", changes)
	}
}

// TestAcceptedExceptionsStayValid checks that the effective defaults of an
// accepted document have no fault, whichever of its exceptions have expired.
func TestAcceptedExceptionsStayValid(t *testing.T) {
	base := readFleet(t)
	start := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		f := &Fleet{Defaults: *base.Defaults.clone()}
		for i, path := range []string{"firstTokenTarget", "deadline"} {
			f.Exceptions = append(f.Exceptions, Exception{
				Name: path, Path: "services/schrijfhulp/" + path, Reason: "a trial",
				Value: fmt.Appendf(nil, `"%ds"`, rapid.IntRange(1, 60).Draw(t, path)),
				Ends:  start.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "end")+i) * time.Hour).Format(time.RFC3339),
			})
		}
		decoded, err := DecodeFleet(f.Encode())
		if err != nil {
			return
		}
		accepted++
		for hour := range 6 {
			d, err := decoded.Effective(start.Add(time.Duration(hour) * time.Hour))
			if err != nil {
				t.Fatal(err)
			}
			var fc faultCollector
			if d.validate(&fc, "defaults"); fc.err("fleet") != nil {
				t.Fatalf("after %d hours: %v", hour, fc.err("fleet"))
			}
		}
	})
	if accepted == 0 {
		t.Error("no generated document was accepted")
	}
}

func TestDiffNamesElementsByName(t *testing.T) {
	before := readFleet(t)
	after := readFleet(t)
	after.Defaults.Customers = append(after.Defaults.Customers[1:], Customer{Name: "language-cafe"})
	after.Defaults.Customers[0].Weight = 3
	after.Exceptions[0].Ends = ""
	want := []FieldChange{
		{Path: "defaults/customers/choir/weight", Before: []byte("2"), After: []byte("3")},
		{Path: "defaults/customers/foodbank", Before: []byte(`{"keyHashes":[],"name":"foodbank","requestsPerSecond":20}`)},
		{Path: "defaults/customers/language-cafe", After: []byte(`{"keyHashes":null,"name":"language-cafe"}`)},
		{Path: "exceptions/call-night/ends", Before: []byte(`"2026-12-02T00:00:00Z"`)},
	}
	if diff := cmp.Diff(want, Diff(before.Encode(), after.Encode())); diff != "" {
		t.Error(diff)
	}
	if changes := Diff(before.Encode(), before.Encode()); len(changes) != 0 {
		t.Errorf("a document differs from itself: %v", changes)
	}
}
