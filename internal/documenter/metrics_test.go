package documenter_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// metricPattern matches the full name of a metric.
var metricPattern = regexp.MustCompile(`\bcyclamen_[a-z_]*[a-z]\b`)

// TestMetricsPageIsComplete checks that docs/METRICS.md lists every metric that
// the code exports and no other.
func TestMetricsPageIsComplete(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/METRICS.md"))
	if err != nil {
		t.Fatal(err)
	}
	documented := make(map[string]bool)
	for _, name := range metricPattern.FindAllString(string(page), -1) {
		documented[name] = true
	}
	exported := exportedMetrics(t)
	for name, file := range exported {
		if !documented[name] {
			t.Errorf("docs/METRICS.md lacks %s of %s", name, file)
		}
	}
	for name := range documented {
		if exported[name] == "" {
			t.Errorf("docs/METRICS.md explains %s, which no code exports", name)
		}
	}
}

// exportedMetrics returns the metric names in non-test code, each with a file
// that contains it.
func exportedMetrics(t *testing.T) map[string]string {
	t.Helper()
	exported := make(map[string]string)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, name := range metricPattern.FindAllString(string(text), -1) {
			exported[name] = path
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return exported
}
