package documenter_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	root = "../.."
	// testCommand runs every test. The README and CI must contain it.
	testCommand = "go test -race -count=1 ./..."
)

// TestReadmeAndCIRunSameCommand checks that the README and CI contain the same
// test command.
func TestReadmeAndCIRunSameCommand(t *testing.T) {
	for _, file := range []string{"README.md", ".ci/test"} {
		text, err := os.ReadFile(filepath.Join(root, file))
		if err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(string(text), testCommand) {
			t.Errorf("%s does not run %q", file, testCommand)
		}
	}
}
