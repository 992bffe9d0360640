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
	"strings"
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

// CompareStories plays each file testdata/*.story in a test of its own and compares what
// play returns with the golden file beside it.
func CompareStories(t *testing.T, play func(t *testing.T, path string) string) {
	t.Helper()
	paths, err := filepath.Glob("testdata/*.story")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no stories: %v", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".story"), func(t *testing.T) {
			Compare(t, strings.TrimSuffix(path, ".story")+".golden", play(t, path))
		})
	}
}
