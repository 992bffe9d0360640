package soaker

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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
	binary, entry := filepath.Join(t.TempDir(), "cyclamend"), filepath.Join(t.TempDir(), "gatedentry")
	for path, program := range map[string]string{binary: "cmd/cyclamend", entry: "internal/soaker/gatedentry"} {
		if out, err := exec.Command("go", "build", "-o", path, "cyclamenhub.org/"+program).CombinedOutput(); err != nil {
			t.Fatalf("build: %v\n%s", err, out)
		}
	}
	for _, seed := range []uint64{
		1, 2,
		904, // A brittle server that had restarted got twice its places.
	} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			folder := t.TempDir()
			r, err := Run(t.Context(), Options{Seed: seed, Binary: binary, Entry: entry, Folder: folder, Length: 5 * time.Second})
			if err != nil {
				showLogs(t, folder)
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
		entries := rapid.IntRange(1, 9).Draw(t, "entries")
		faults := Plan(seed, length, 6, 3, entries)
		if diff := cmp.Diff(faults, Plan(seed, length, 6, 3, entries)); diff != "" {
			t.Fatalf("two plans of one seed differ:\n%s", diff)
		}
		var before time.Duration
		for _, f := range faults {
			if f.isCut() {
				if n := len(f.Hosts); n < 1 || n >= entries || f.Duration < minCutDuration || f.Duration > maxCutDuration || f.Start < before || f.Start > length {
					t.Errorf("cut %v of %d hosts after %v of %v", f, entries, before, length)
				}
				before = f.Start
				continue
			}
			targets, end, longest := 3, length, maxFaultDuration
			if f.Kind == Brittle {
				longest = maxBrittleDuration
			}
			if f.Kind == Silence {
				end = length + maxCutDuration
			}
			if f.Kind.targetsProcess() {
				targets = 6
			}
			if f.Start < before || f.Start >= end || f.Duration < minFaultDuration || f.Duration > longest || f.Target < 0 || f.Target >= targets {
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
	l.recordOutcome(try{id: "untrue", outcome: "503"}, true)
	l.recordOutcome(try{id: "true", outcome: "503"}, true)
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

// TestUnservedCallsAreDetected passes calls at hosts that are cut off, and calls to a
// silent server, to the checks.
func TestUnservedCallsAreDetected(t *testing.T) {
	begin := time.Now()
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	cut := span{Fault{Kind: Reset, Hosts: []int{1}}, at(0), at(10)}
	silence := span{Fault{Kind: Silence}, at(4), at(6)}
	for _, tc := range []struct {
		name       string
		spans      []span
		host       int
		fails      int // of 30 calls at the host
		outcome    string
		start      float64
		violations int
	}{
		{"calls at a cut host fail", []span{cut}, 1, 20, "503", 5, 1},
		{"few calls at a cut host fail", []span{cut}, 1, 10, "503", 5, 0},
		{"calls soon after the cut fail", []span{cut}, 1, 20, "503", 2, 0},
		{"calls after the cut fail", []span{cut}, 1, 20, "503", 10, 0},
		{"calls beside a kill of the host fail", []span{cut, {Fault{Kind: Kill, Target: 2}, at(2), at(2.5)}}, 1, 20, "503", 5, 0},
		{"calls fail beside a restart of the only other host", []span{cut, {Fault{Kind: Stop, Target: 1}, at(2), at(2.5)}}, 1, 20, "503", 5, 0},
		{"calls beside a pause of a keeper fail", []span{cut, {Fault{Kind: Pause}, at(2), at(2.5)}}, 1, 20, "503", 5, 0},
		{"calls to a silent server end", []span{silence}, 1, 4, unanswered, 5, 1},
		{"streams of a silent server end", []span{silence}, 1, 4, brokenOff, 5, 1},
		{"three calls to a silent server end", []span{silence}, 1, 3, unanswered, 5, 0},
		{"calls to a sound server end", nil, 1, 4, unanswered, 5, 0},
		{"calls beside a stop of the host end", []span{silence, {Fault{Kind: Stop, Target: 2}, at(5), at(6)}}, 1, 4, unanswered, 5, 0},
		{"calls at a cut host end", []span{silence, cut}, 1, 4, unanswered, 5, 0},
		{"calls to a server whose link breaks end", []span{silence, {Fault{Kind: Lose}, at(5), at(6)}}, 1, 4, unanswered, 5, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := &link{calls: make(map[identifier.RequestID]struct{})}
			l.recordCall("c")
			s := &soak{keepers: []*process{{}}, entries: []*process{{}, {}}, links: []*link{l}}
			s.ledger.spans = tc.spans
			for n := range 30 {
				c := try{id: "c", host: tc.host, start: at(tc.start), end: at(tc.start + 1), outcome: "200"}
				other := c
				other.host = 0
				if n < tc.fails {
					c.outcome = tc.outcome
				}
				s.ledger.tries = append(s.ledger.tries, c, other)
			}
			s.checkCuts()
			s.checkSilences()
			if n := len(s.ledger.violations); n != tc.violations {
				t.Errorf("%d violations, want %d: %q", n, tc.violations, s.ledger.violations)
			}
		})
	}
}

// TestFallsOfBrittleServersAreDetected passes falls and calls that brittle servers turned
// away to the checks, and calls that are not served beside them.
func TestFallsOfBrittleServersAreDetected(t *testing.T) {
	begin := time.Now()
	at := func(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }
	fault := func(k Kind, target int) span { return span{Fault{Kind: k, Target: target}, at(2), at(2.5)} }
	for _, tc := range []struct {
		name       string
		spans      []span
		falls, at  int
		outcome    string
		violations int
	}{
		{"three falls", nil, 3, 4, "200", 1},
		{"two falls", nil, 2, 4, "200", 0},
		{"three falls by a host that was paused", []span{fault(Pause, 3)}, 3, 4, "200", 0},
		{"three falls after a pause", []span{fault(Pause, 3)}, 3, 6, "200", 1},
		{"three falls beside a fault of another host", []span{fault(Kill, 4)}, 3, 4, "200", 1},
		{"three falls beside a fault of a keeper", []span{fault(Kill, 0)}, 3, 4, "200", 1},
		{"three falls beside faults of two keepers", []span{fault(Kill, 0), fault(Kill, 1)}, 3, 4, "200", 0},
		{"three falls by a host that is cut off", []span{{Fault{Kind: Reset, Hosts: []int{0}}, at(1), at(9)}}, 3, 4, "200", 0},
		{"no call is served", nil, 0, 4, "503", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			gate := &link{calls: map[identifier.RequestID]struct{}{"c": {}}}
			s := &soak{keepers: []*process{{}, {}, {}}, entries: []*process{{gate: gate}, {gate: &link{}}}}
			s.ledger.spans = slices.Concat(tc.spans, []span{{Fault{Kind: Brittle}, at(0), at(9)}})
			for range 30 {
				s.ledger.tries = append(s.ledger.tries, try{start: at(6), end: at(7), outcome: tc.outcome})
			}
			falls := make([]string, tc.falls)
			s.checkFalls(falls, []standin.Refusal{{Call: "c", At: at(float64(tc.at))}})
			for _, c := range s.ledger.spans {
				if c.Kind == Brittle {
					s.checkServed(c)
				}
			}
			if n := len(s.ledger.violations); n != tc.violations {
				t.Errorf("%d violations, want %d: %q", n, tc.violations, s.ledger.violations)
			}
		})
	}
}
