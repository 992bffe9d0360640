package soaker

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/platform/standin"
)

// TestSoak plays a short run of the real programs. Longer ones and more seeds are
// played by the command.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "cyclamend")
	if out, err := exec.Command("go", "build", "-o", binary, "cyclamenhub.org/cmd/cyclamend").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			folder := t.TempDir()
			r, err := Run(t.Context(), Options{Seed: seed, Binary: binary, Folder: folder, Length: 5 * time.Second})
			if err != nil {
				t.Fatal(err)
			}
			t.Log(r)
			if len(r.Broken) > 0 {
				t.Errorf("%d promises are broken", len(r.Broken))
				showLogs(t, folder)
			}
			if r.Outcomes[fmt.Sprint(http.StatusOK)] == 0 || len(r.Faults) == 0 || r.Stored == 0 {
				t.Error("the run shows nothing: no call, fault or document")
			}
		})
	}
}

// showLogs shows what the processes wrote.
func showLogs(t *testing.T, folder string) {
	logs, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range logs {
		b, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("[%s]\n%s", filepath.Base(name), b)
	}
}

// TestPlanFollowsSeed checks that a plan depends on the seed alone and stays within
// the run and its targets.
func TestPlanFollowsSeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, length := rapid.Uint64().Draw(t, "seed"), time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds"))*time.Second
		faults := Plan(seed, length, 6, 3)
		if diff := cmp.Diff(faults, Plan(seed, length, 6, 3)); diff != "" {
			t.Fatalf("two plans of one seed differ:\n%s", diff)
		}
		var before time.Duration
		for _, f := range faults {
			targets := 3
			if f.Kind.hitsProcess() {
				targets = 6
			}
			if f.At < before || f.At >= length || f.For < shortest || f.For > longest || f.Target < 0 || f.Target >= targets {
				t.Errorf("fault %v after %v of %v", f, before, length)
			}
			before = f.At
		}
	})
}

// TestBrokenPromisesAreSeen hands the checks what no system may do.
func TestBrokenPromisesAreSeen(t *testing.T) {
	var s soak
	l := &s.ledger
	l.begin("once", false)
	l.begin("again", true)
	l.end("untrue", "503", true)
	l.end("true", "503", true)
	l.checkRuns(map[identifier.RequestID]int{"once": 2, "again": 2, "untrue": 1})

	whole := standin.Event("d", 1) + standin.Event("d", 2)
	s.checkAnswer("d", draftPath, whole, false)                                       // broken off
	s.checkAnswer("d", draftPath, whole, true)                                        // looks whole and is not
	s.checkAnswer("d", draftPath, standin.Event("d", 2)+standin.Event("d", 1), false) // out of order
	s.checkAnswer("d", draftPath, standin.Event("other", 1), false)                   // another call's
	s.checkAnswer("f", filePath, standin.Line("f", customer), true)                   // its own
	s.checkAnswer("f", filePath, standin.Line("f", "another"), true)                  // another customer's
	want := []string{"once may run", "untrue is told", "call d gets", "call d gets", "call d gets", "call f gets"}
	if len(l.broken) != len(want) {
		t.Fatalf("%d promises are broken, want %d: %q", len(l.broken), len(want), l.broken)
	}
	for i, w := range want {
		if !strings.Contains(l.broken[i], w) {
			t.Errorf("broken promise %d is %q, want %q", i, l.broken[i], w)
		}
	}
}
