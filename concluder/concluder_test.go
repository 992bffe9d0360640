package concluder

import (
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// leaving returns a scenario whose server leaves, as the host knows for the given time.
func leaving(s scenario, knownFor time.Duration) scenario {
	s.Leaves, s.Heard, s.KnownFor, s.ServesFor = true, true, knownFor, 3*time.Second
	return s
}

// takenAway returns a scenario whose server is taken away at a named time after the end.
func takenAway(s scenario, goneIn time.Duration) scenario {
	s = leaving(s, 2*time.Second)
	s.IsNamed, s.GoneIn = true, goneIn
	return s
}

// The cases of reviews are draws of the model. Each guards against the failure that it showed.
var reviewed = []struct {
	name string
	scenario
	want Verdict
}{
	{
		"review/6: streams of servers that leave are cut when they are taken away",
		takenAway(scenario{Fate: dies, Answers: 3, Quiet: 70 * time.Millisecond}, time.Second), Cut,
	},
	{
		"review/7: a server that is killed closes its connections in the ordinary way",
		scenario{Fate: dies, Answers: 3, Quiet: 70 * time.Millisecond}, Cut,
	},
	{
		"review/9: whole answers at a host that is cut off",
		scenario{Fate: goesOn, Host: isCutOff, Answers: 3, Gap: 100 * time.Millisecond, Quiet: 100 * time.Millisecond}, AssumedWhole,
	},
	{
		"review/10: the host stood still, and another server has the address",
		scenario{Fate: isReplaced, Host: stoodStill, Answers: 5, Quiet: 4 * time.Second}, Cut,
	},
	{
		"review/11: the host stood still, and the server is back under its id",
		scenario{Fate: comesBack, Host: stoodStill, Answers: 5, Quiet: 4 * time.Second, HasBirth: true}, Cut,
	},
	{
		"review/13: the only answer of a server that is taken away at its time",
		takenAway(scenario{Fate: dies, Answers: 1, Quiet: time.Second}, 100*time.Millisecond), Cut,
	},
	{
		"review/14: the last streams of a server that leaves end together, and its process",
		leaving(scenario{Fate: endsInOrder, Answers: 24, Quiet: 100 * time.Millisecond}, 3*time.Second), AssumedWhole,
	},
	{
		"the same with bodies, after a silence",
		leaving(scenario{Fate: endsInOrder, Answers: 6, IsSilent: true, Quiet: 100 * time.Millisecond}, 3*time.Second), AssumedWhole,
	},
	{
		"review/15: a server dies behind a cut",
		scenario{Fate: dies, Host: isCutOff, Answers: 5, Quiet: 3 * time.Second}, Cut,
	},
}

// TestJudgeOfReviewedCases checks the cases that reviews have shown.
func TestJudgeOfReviewedCases(t *testing.T) {
	for _, tc := range reviewed {
		t.Run(tc.name, func(t *testing.T) {
			for i, e := range tc.evidence() {
				if diff := cmp.Diff(tc.want.String(), e.Judge().String()); diff != "" {
					t.Errorf("answer %d, %+v (-want +got):\n%s", i, e, diff)
				}
			}
		})
	}
}

// drawScenario draws a scenario that is possible.
func drawScenario(t *rapid.T) scenario {
	return rapid.Custom(func(t *rapid.T) scenario {
		draw := func(name string, of ...time.Duration) time.Duration { return rapid.SampledFrom(of).Draw(t, name) }
		is := func(name string) bool { return rapid.Bool().Draw(t, name) }
		return scenario{
			Fate:          fate(rapid.IntRange(0, int(fates)-1).Draw(t, "fate")),
			Host:          hostState(rapid.IntRange(0, int(hostStates)-1).Draw(t, "host")),
			Answers:       rapid.IntRange(1, 4).Draw(t, "answers"),
			Gap:           draw("gap", 0, ClosingTime/4, 3*ClosingTime, 2*longGap),
			Quiet:         draw("quiet", 0, promptTime, 2*promptTime, 100*time.Millisecond, 4*time.Second),
			Leaves:        is("leaves"),
			Heard:         is("heard"),
			KnownFor:      draw("knownFor", 0, time.Second, 5*time.Second),
			ServesFor:     draw("servesFor", 0, 3*time.Second),
			IsNamed:       is("isNamed"),
			GoneIn:        draw("goneIn", -2*time.Second, -overtime/2, 0, time.Second, 10*time.Second),
			IsSilent:      is("isSilent"),
			HasIdle:       is("hasIdle"),
			Breaks:        is("breaks"),
			HasBirth:      is("hasBirth"),
			IsInterrupted: is("isInterrupted"),
			IsMute:        is("isMute"),
		}
	}).Filter(func(s scenario) bool { return s.isPossible() }).Draw(t, "scenario")
}

// TestJudgeOfDrawnEnds holds the verdict on each answer against the truth: no part looks whole,
// and no whole answer is broken off. Where the evidence is the same for both, the pair has a row
// in the design note with the way that is taken.
func TestJudgeOfDrawnEnds(t *testing.T) {
	pairs := readPairs(t)
	rapid.Check(t, func(t *rapid.T) {
		s := drawScenario(t)
		for i, e := range s.evidence() {
			verdict := e.Judge()
			name := pairOf(&e)
			way, isPair := pairs[name]
			switch {
			case isPair:
				if diff := cmp.Diff(way, verdict.String()); diff != "" {
					t.Fatalf("%q is judged in another way than the design note says (-note +got):\n%s", name, diff)
				}
			case s.isWhole() && verdict == Cut:
				t.Fatalf("answer %d is whole and broken off, and no pair of the design note: %q, %+v", i, name, e)
			case !s.isWhole() && verdict != Cut:
				t.Fatalf("answer %d is cut and %v, and no pair of the design note: %q, %+v", i, verdict, name, e)
			}
		}
	})
}

// TestPairsHaveTheSameEvidence checks that each pair of the design note is one: it has scenarios of
// both kinds. One that has not would excuse a wrong verdict.
func TestPairsHaveTheSameEvidence(t *testing.T) {
	type kinds struct{ whole, cut bool }
	got := make(map[string]kinds)
	for _, s := range allScenarios() {
		for _, e := range s.evidence() {
			k := got[pairOf(&e)]
			k.whole, k.cut = k.whole || s.isWhole(), k.cut || !s.isWhole()
			got[pairOf(&e)] = k
		}
	}
	for name := range readPairs(t) {
		if diff := cmp.Diff(kinds{true, true}, got[name], cmp.AllowUnexported(kinds{})); diff != "" {
			t.Errorf("%q is no pair (-want +got):\n%s", name, diff)
		}
	}
}

// allScenarios returns scenarios with each combination of what tells pairs apart.
func allScenarios() []scenario {
	var out []scenario
	const choices = int(fates) * int(hostStates) << 11
	for n := range choices {
		pick := func(of int) int {
			digit := n % of
			n /= of
			return digit
		}
		is := func() bool { return pick(2) == 1 }
		s := scenario{
			Fate: fate(pick(int(fates))), Host: hostState(pick(int(hostStates))), ServesFor: 3 * time.Second,
			Answers: 1 + 2*pick(2), Quiet: time.Duration(pick(2)) * time.Second, KnownFor: time.Duration(pick(2)) * time.Minute,
			Leaves: is(), Heard: is(), IsMute: is(), HasBirth: is(), IsSilent: is(), IsInterrupted: is(), IsNamed: is(), GoneIn: time.Duration(pick(2)) * time.Minute,
		}
		if s.isPossible() {
			out = append(out, s)
		}
	}
	return out
}

// pairOf names what evidence has in common that may come of whole answers and of parts.
func pairOf(e *Evidence) string {
	var words []string
	switch {
	case e.Identity == Other:
		return "the address has another process"
	case e.Interrupted:
		return "interrupted"
	case e.Process == Unknown:
		return "no new connection is answered"
	case e.Process == Up && !e.Old:
		return "up"
	case e.Process == Up && e.Identity == Same:
		return "old, the same run"
	case e.Process == Up && e.Identity == SameID:
		return "old, the same server by its id"
	case e.Process == Up:
		return "old, the process does not say who it is"
	case e.GoesOn:
		return "goes on"
	case e.Process == CutOff:
		words = append(words, "cut off")
	case !e.Leaves:
		return "refused, not known to leave"
	default:
		words = append(words, "leaves")
	}
	if e.Group.Broken {
		return strings.Join(append(words, "one shows that it is cut"), ", ")
	}
	if e.Process == Ended && e.isTakenAway() {
		if e.endsEarly() {
			return "leaves, well before the time that was named, with the last bytes"
		}
		return "leaves, before the time that was named is over"
	}
	if e.Process == Ended && e.hasServedItsTime() {
		return strings.Join(append(words, "has served its time"), ", ")
	}
	switch {
	case e.Group.Others == 0:
		words = append(words, "alone")
	case e.StoodStill:
		words = append(words, "together, stood still")
	case e.Group.Prompt:
		words = append(words, "together, with the last bytes")
	default:
		words = append(words, "together")
	}
	return strings.Join(words, ", ")
}

// pairRow is a row of the table of pairs in the design note.
var pairRow = regexp.MustCompile("(?m)^\\| \"([^\"]+)\" \\| (cut|assumedWhole) \\|")

// readPairs returns the ways that are taken with the pairs of the design note.
func readPairs(t *testing.T) map[string]string {
	t.Helper()
	b, err := os.ReadFile("../docs/design/ends-of-answers.md")
	if err != nil {
		t.Fatal(err)
	}
	pairs := make(map[string]string)
	for _, row := range pairRow.FindAllStringSubmatch(string(b), -1) {
		pairs[row[1]] = row[2]
	}
	return pairs
}
