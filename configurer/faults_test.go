package configurer

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write golden files and generated pages instead of comparing them")

// decodeNamed decodes a fleet document if name begins with "fleet", and settings
// otherwise.
func decodeNamed(name string, b []byte) error {
	if strings.HasPrefix(name, "fleet") {
		_, err := DecodeFleet(b)
		return err
	}
	_, err := DecodeSettings("settings", b)
	return err
}

// compareGolden compares got with the golden file at path. With -update it
// writes the file first.
func compareGolden(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
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

// readFiles returns the contents of the files that match pattern, by path.
func readFiles(t testing.TB, pattern string) map[string][]byte {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	if err != nil || len(paths) == 0 {
		t.Fatalf("no files match %s: %v", pattern, err)
	}
	files := make(map[string][]byte)
	for _, path := range paths {
		if files[path], err = os.ReadFile(path); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

func TestAllFaultsAreReportedTogether(t *testing.T) {
	for path, b := range readFiles(t, "testdata/faults/*.json") {
		name := strings.TrimSuffix(filepath.Base(path), ".json")
		t.Run(name, func(t *testing.T) {
			err := decodeNamed(name, b)
			if err == nil {
				t.Fatal("accepted")
			}
			compareGolden(t, strings.TrimSuffix(path, ".json")+".golden", err.Error()+"\n")
		})
	}
}

func TestValidDocumentsAreAccepted(t *testing.T) {
	for path, b := range readFiles(t, "testdata/*.json") {
		if err := decodeNamed(filepath.Base(path), b); err != nil {
			t.Error(err)
		}
	}
}
