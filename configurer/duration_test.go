package configurer

import (
	"encoding/json"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestDurationsSurviveEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unit := rapid.SampledFrom([]time.Duration{1, time.Millisecond, time.Second, time.Minute, time.Hour}).Draw(t, "unit")
		want := Duration(time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "n")) * unit)
		b, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		var got Duration
		if err := json.Unmarshal(b, &got); err != nil || got != want {
			t.Fatalf("%s decodes to %v, %v; want %v", b, got, err, want)
		}
	})
}
