package soaker

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault.
type Kind string

// The fault kinds. Those that target processes come first.
const (
	Kill   Kind = "kill"   // SIGKILL, and a restart at the end
	Stop   Kind = "stop"   // SIGTERM, and a restart at the end
	Pause  Kind = "pause"  // SIGSTOP, and SIGCONT at the end
	Stall  Kind = "stall"  // the link forwards nothing
	OneWay Kind = "oneWay" // the link forwards no responses
	Slow   Kind = "slow"   // the link forwards everything with a delay
	Reset  Kind = "reset"  // open and new connections are reset
	Lose   Kind = "lose"   // a connection is reset when a response arrives on it
)

// targetsProcess reports whether k targets a process; other kinds target a link.
func (k Kind) targetsProcess() bool { return k == Kill || k == Stop || k == Pause }

var kinds = []Kind{Kill, Stop, Pause, Stall, OneWay, Slow, Reset, Lose}

// Fault is one planned fault.
type Fault struct {
	Kind Kind
	// Target is the index of the process or the link.
	Target int
	// Start is when the fault begins, relative to the start of the callers, and
	// Duration is how long it lasts.
	Start, Duration time.Duration
}

// String formats the fault as a line of a report.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2f s %-6s %d for %.2f s", f.Start.Seconds(), f.Kind, f.Target, f.Duration.Seconds())
}

const (
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 600 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound how long a fault lasts. The
	// maximum is longer than the lease of a leader and the time-out of a
	// silent session, so that faults outlast both.
	minFaultDuration = 50 * time.Millisecond
	maxFaultDuration = 3 * time.Second
)

// Plan generates the faults of a run of the given length, ordered by start. It
// depends on its arguments alone.
func Plan(seed uint64, length time.Duration, processes, links int) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	faults := make([]Fault, int(length/meanFaultInterval))
	for i := range faults {
		f := Fault{
			Kind:     kinds[rng.IntN(len(kinds))],
			Start:    time.Duration(rng.Int64N(int64(length))),
			Duration: minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration))),
		}
		f.Target = rng.IntN(links)
		if f.Kind.targetsProcess() {
			f.Target = rng.IntN(processes)
		}
		faults[i] = f
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return faults
}
