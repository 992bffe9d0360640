package explainer

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files")

// TestExplain checks the output for three failed calls against golden files.
// The logs are those of two entry hosts and a keeper.
func TestExplain(t *testing.T) {
	var e Explainer
	logs, err := filepath.Glob("testdata/*.log")
	if err != nil || len(logs) == 0 {
		t.Fatal("no logs in testdata", err)
	}
	for _, name := range logs {
		b, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if err := e.Read(bytes.NewReader(b)); err != nil {
			t.Fatal(err)
		}
	}
	for _, id := range []string{"refused", "late", "broken"} {
		var got bytes.Buffer
		if err := e.Explain(&got, id); err != nil {
			t.Fatal(err)
		}
		path := filepath.Join("testdata", id+".golden")
		if *update {
			if err := os.WriteFile(path, got.Bytes(), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		want, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(want), got.String()); diff != "" {
			t.Errorf("%s differs (-want +got):\n%s", path, diff)
		}
	}
	var unknown *NotFoundError
	if err := e.Explain(&bytes.Buffer{}, "nowhere"); !errors.As(err, &unknown) {
		t.Errorf("unknown id: error is %v, want a NotFoundError", err)
	}
}
