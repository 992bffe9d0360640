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

// TestSoak does short runs of the real programs. The soak command does longer
// runs with more seeds.
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
			if len(r.Violations) > 0 {
				t.Errorf("%d promises are broken", len(r.Violations))
				showLogs(t, folder)
			}
			if r.Outcomes[fmt.Sprint(http.StatusOK)] == 0 || len(r.Faults) == 0 || r.Stored == 0 {
				t.Error("the run is no evidence: it has no successful call, no fault or no acknowledged document")
			}
		})
	}
}

// showLogs adds the logs of the processes to the test log.
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

// TestPlanFollowsSeed checks that two plans with the same arguments are equal,
// and that faults are ordered and within the run, the bounds and the targets.
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
			if f.Kind.targetsProcess() {
				targets = 6
			}
			if f.Start < before || f.Start >= length || f.Duration < minFaultDuration || f.Duration > maxFaultDuration || f.Target < 0 || f.Target >= targets {
				t.Errorf("fault %v after %v of %v", f, before, length)
			}
			before = f.Start
		}
	})
}

// TestViolationsAreDetected passes invalid observations to the checks and
// expects each of them to be recorded as a violation.
func TestViolationsAreDetected(t *testing.T) {
	var s soak
	l := &s.ledger
	l.recordStart("once", false)
	l.recordStart("again", true)
	l.recordOutcome("untrue", "503", true)
	l.recordOutcome("true", "503", true)
	l.checkRuns(map[identifier.RequestID]int{"once": 2, "again": 2, "untrue": 1})

	prefix := standin.Event("d", 1) + standin.Event("d", 2)
	s.checkResponse("d", streamPath, prefix, false)                                      // truncated, connection broke
	s.checkResponse("d", streamPath, prefix, true)                                       // truncated, looks complete
	s.checkResponse("d", streamPath, standin.Event("d", 2)+standin.Event("d", 1), false) // out of order
	s.checkResponse("d", streamPath, standin.Event("other", 1), false)                   // of another request
	s.checkResponse("f", nonIdempotentPath, standin.Line("f", customer), true)           // correct
	s.checkResponse("f", nonIdempotentPath, standin.Line("f", "another"), true)          // of another customer
	want := []string{"once may run", "untrue is told", "call d gets", "call d gets", "call d gets", "call f gets"}
	if len(l.violations) != len(want) {
		t.Fatalf("%d promises are broken, want %d: %q", len(l.violations), len(want), l.violations)
	}
	for i, w := range want {
		if !strings.Contains(l.violations[i], w) {
			t.Errorf("broken promise %d is %q, want %q", i, l.violations[i], w)
		}
	}
}
