package configurer

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// addSeeds adds every test document to a fuzz target's corpus.
func addSeeds(f *testing.F) {
	f.Helper()
	for _, pattern := range []string{"testdata/*.json", "testdata/faults/*.json"} {
		for _, b := range readFiles(f, pattern) {
			f.Add(b)
		}
	}
}

func FuzzDecodeSettings(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := DecodeSettings("settings", b)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		again, err := DecodeSettings("settings", encoded)
		if err != nil {
			t.Fatalf("accepted settings are rejected after encoding: %v", err)
		}
		if diff := cmp.Diff(s, again); diff != "" {
			t.Fatal(diff)
		}
	})
}

func FuzzDecodeFleet(f *testing.F) {
	addSeeds(f)
	f.Fuzz(func(t *testing.T, b []byte) {
		fleet, err := DecodeFleet(b)
		if err != nil {
			return
		}
		if _, err := fleet.Effective(time.Time{}); err != nil {
			t.Fatalf("an accepted document has no effective defaults: %v", err)
		}
		encoded := fleet.Encode()
		again, err := DecodeFleet(encoded)
		if err != nil {
			t.Fatalf("an accepted document is rejected after encoding: %v", err)
		}
		if diff := cmp.Diff(string(encoded), string(again.Encode())); diff != "" {
			t.Fatal(diff)
		}
	})
}
