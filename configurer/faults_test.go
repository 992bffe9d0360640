package configurer

import (
	"os"
	"path/filepath"
	"runtime"
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

// TestDeepNestingIsRefused guards against a process that ends while it decodes a document
// that is nested deeply: the paths of all its levels took memory with the square of their
// number.
func TestDeepNestingIsRefused(t *testing.T) {
	const maxBytes = 32 << 20
	open, shut := `{"defaults":`, "}"
	for _, tc := range []struct {
		name, b string
	}{
		{"objects", strings.Repeat(open, 9_999) + "1" + strings.Repeat(shut, 9_999)},
		{"lists", strings.Repeat("[", 9_999) + strings.Repeat("]", 9_999)},
		{"1,000,000 levels", strings.Repeat(open, 1_000_000) + "1" + strings.Repeat(shut, 1_000_000)},
		{"an unknown field", `{"defaults":{"x":` + strings.Repeat("[", 9_990) + strings.Repeat("]", 9_990) + `}}`},
		{"the value of an exception", `{"exceptions":[{"value":` + strings.Repeat("[", 9_990) + strings.Repeat("]", 9_990) + `}]}`},
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := DecodeFleet([]byte(tc.b))
		runtime.ReadMemStats(&after)
		if used := after.TotalAlloc - before.TotalAlloc; err == nil || used > maxBytes {
			t.Errorf("%s: %d bytes allocated, error %.200v", tc.name, used, err)
		}
		if err != nil && len(err.Error()) > 10_000 {
			t.Errorf("%s: the error has %d bytes", tc.name, len(err.Error()))
		}
	}
}

// TestNumbersOutOfRangeAreRefused guards against values of a backend server that no
// process can use.
func TestNumbersOutOfRangeAreRefused(t *testing.T) {
	const valid = `{"name":"a","service":"cases","version":"v1","failureDomain":"riga-a","address":"10.0.0.1:80","concurrency":8}`
	document := func(server string) []byte {
		return []byte(`{"defaults":{"services":[{"name":"cases","kind":"plain","version":"v1","firstTokenTarget":"1s","deadline":"30s"}],"backendServers":[` + server +
			`],"limits":{"bodyBytes":1000,"queuedRequests":10,"retryShare":0.1,"claimHorizon":"24h"}}}`)
	}
	if _, err := DecodeFleet(document(valid)); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct{ old, odd string }{
		{":80", ":0"}, {":80", ":65536"}, {":80", ":-1"}, {":80", ":http"}, {":80", ":"}, {"10.0.0.1", "0.0.0.0"}, {"10.0.0.1", "[::]"}, {"10.0.0.1", "a.example"},
		{`:8}`, `:1e400}`}, {`:8}`, `:1e30}`}, {`:8}`, `:99999999999999999999}`}, {`:8}`, `:9223372036854775807}`}, {`:8}`, `:0}`}, {`:8}`, `:-1}`},
		{`:8}`, `:8,"price":1e400}`}, {`:8}`, `:8,"price":1e300}`}, {`:8}`, `:8,"price":-1}`},
	} {
		if _, err := DecodeFleet(document(strings.Replace(valid, tc.old, tc.odd, 1))); err == nil {
			t.Errorf("%q instead of %q is accepted", tc.odd, tc.old)
		}
	}
}
