package roller

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestReportRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Report{
			Source: Source{Host: "a1", Epoch: Epoch(rapid.Uint64().Draw(t, "epoch"))}, Service: "schrijfhulp",
			Rollout: "move-1", Control: "v1", Cells: drawCells(t, "sent"),
		}
		if rapid.Bool().Draw(t, "condemns") {
			want.Verdicts = make([]Verdict, 1)
		}
		got, err := DecodeReport(want.Encode())
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("(-sent +received):\n%s", diff)
		}
	})
}

// DecodeReport must return a report or a typed error for any bytes.
func TestDecodeReportRejectsInvalidBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := (&Report{Source: Source{Host: "a1"}, Service: "s", Cells: drawCells(t, "sent")}).Encode()
		b = append(b[:rapid.IntRange(0, len(b)).Draw(t, "cut")], rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "garbage")...)
		_, err := DecodeReport(b)
		var typed *ReportError
		if err != nil && !errors.As(err, &typed) {
			t.Fatalf("error %T, want a ReportError", err)
		}
	})
}
