// Package golden compares the output of tests with files under testdata.
//
// It is only for tests. Importing it registers the flag -update, which rewrites
// the files with the present output instead.
//
// # Usage
//
//	golden.Compare(t, "testdata/table.golden", out.String())
//
//	go test ./scaler -update
package golden

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write golden files and generated pages instead of comparing them")

// Compare fails the test if got differs from the file at path. With -update it
// writes the file first.
func Compare(t testing.TB, path, got string) {
	t.Helper()
	if *update {
		err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o755), os.WriteFile(path, []byte(got), 0o600))
		if err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("%s differs (-want +got):\n%s", path, diff)
	}
}
