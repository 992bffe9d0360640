package configurer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"cyclamenhub.org/internal/golden"
)

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
			golden.Compare(t, strings.TrimSuffix(path, ".json")+".golden", err.Error()+"\n")
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
