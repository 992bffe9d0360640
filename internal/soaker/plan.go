package soaker

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what a fault does.
type Kind string

// The kinds of faults. Those of processes come first.
const (
	Kill   Kind = "kill"   // SIGKILL, and a start at the end
	Stop   Kind = "stop"   // SIGTERM, and a start at the end
	Pause  Kind = "pause"  // SIGSTOP, and SIGCONT at the end
	Stall  Kind = "stall"  // nothing passes the link
	OneWay Kind = "oneWay" // no answer passes the link
	Slow   Kind = "slow"   // everything passes the link late
	Reset  Kind = "reset"  // connections break, and new ones as well
	Lose   Kind = "lose"   // connections break as soon as an answer comes
)

// hitsProcess reports whether the kind harms processes; the others harm links.
func (k Kind) hitsProcess() bool { return k == Kill || k == Stop || k == Pause }

var kinds = []Kind{Kill, Stop, Pause, Stall, OneWay, Slow, Reset, Lose}

// Fault is one harm.
type Fault struct {
	Kind Kind
	// Target numbers the process or the link.
	Target int
	// At is when it begins, from the start of the calls on.
	At, For time.Duration
}

// String returns the fault as a line of a report.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s %-6s %d for %.2f s", f.At.Seconds(), f.Kind, f.Target, f.For.Seconds())
}

const (
	// faultEvery is the mean time between two beginnings of faults.
	faultEvery = 600 * time.Millisecond
	// shortest and longest bound how long a fault lasts: the longest is beyond the
	// lease of a leader and the time in which a silent session is given up.
	shortest = 50 * time.Millisecond
	longest  = 3 * time.Second
)

// Plan draws the faults of a run of a length, in the order of their beginning.
func Plan(seed uint64, length time.Duration, processes, links int) []Fault {
	rnd := rand.New(rand.NewPCG(seed, 0))
	faults := make([]Fault, int(length/faultEvery))
	for i := range faults {
		f := Fault{
			Kind: kinds[rnd.IntN(len(kinds))],
			At:   time.Duration(rnd.Int64N(int64(length))),
			For:  shortest + time.Duration(rnd.Int64N(int64(longest-shortest))),
		}
		f.Target = rnd.IntN(links)
		if f.Kind.hitsProcess() {
			f.Target = rnd.IntN(processes)
		}
		faults[i] = f
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}
