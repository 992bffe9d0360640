package explainer

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"cyclamenhub.org/internal/golden"
)

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
		golden.Compare(t, filepath.Join("testdata", id+".golden"), got.String())
	}
	var unknown *NotFoundError
	if err := e.Explain(&bytes.Buffer{}, "nowhere"); !errors.As(err, &unknown) {
		t.Errorf("unknown id: error is %v, want a NotFoundError", err)
	}
}
