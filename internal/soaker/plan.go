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
	// Silence is a Stall of a server that is sound and goes on in time.
	Silence Kind = "silence"
	// Refuse, in a cut, lets open connections live on and resets new ones.
	Refuse Kind = "refuse"
	// Brittle makes all backend servers brittle.
	Brittle Kind = "brittle"
	// Fall is the time in which a backend server behind a link is down after it fell over.
	// It is a consequence and not planned.
	Fall Kind = "fall"
)

// targetsProcess reports whether k targets a process; other kinds target a link.
func (k Kind) targetsProcess() bool { return k == Kill || k == Stop || k == Pause }

var kinds = []Kind{Kill, Stop, Pause, Stall, OneWay, Slow, Reset, Lose}

// Fault is one planned fault.
type Fault struct {
	Kind Kind
	// Target is the index of the process or the link.
	Target int
	// Hosts are the entry hosts that a cut by Stall, Reset or Refuse takes from all
	// backend servers; it has no Target.
	Hosts []int
	// Survives is the number of refusals in a second that brittle servers survive, Room
	// that of calls that they let wait in the end.
	Survives, Room int
	// Start is when the fault begins, relative to the start of the callers, and
	// Duration is how long it lasts.
	Start, Duration time.Duration
}

// String formats the fault as a line of a report.
func (f Fault) String() string {
	if f.isCut() {
		return fmt.Sprintf("%6.2f s cut (%s) of hosts %v for %.2f s", f.Start.Seconds(), f.Kind, f.Hosts, f.Duration.Seconds())
	}
	if f.Kind == Brittle {
		return fmt.Sprintf("%6.2f s brittle servers, room for %d, survive %d for %.2f s", f.Start.Seconds(), f.Room, f.Survives, f.Duration.Seconds())
	}
	return fmt.Sprintf("%6.2f s %-6s %d for %.2f s", f.Start.Seconds(), f.Kind, f.Target, f.Duration.Seconds())
}

// isCut reports whether f is a cut of entry hosts from all backend servers.
func (f Fault) isCut() bool { return f.Hosts != nil }

const (
	// meanFaultInterval is the mean time between the starts of two faults.
	meanFaultInterval = 600 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound how long a fault lasts. The
	// maximum is longer than the lease of a leader and the time-out of a
	// silent session, so that faults outlast both.
	minFaultDuration = 50 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// meanSilenceInterval is the mean time between the starts of two silences.
	meanSilenceInterval    = time.Second
	minSilence, maxSilence = time.Second, 1800 * time.Millisecond
	// maxCutInterval bounds the time between two cuts. lastCutStart is the
	// time before the end within which the last one begins.
	maxCutInterval                 = 10 * time.Second
	minCutDuration, maxCutDuration = 4 * time.Second, 12 * time.Second
	lastCutStart                   = 2 * time.Second
	minLastCutDuration             = 8 * time.Second
	// A brittle stretch lasts longer than contact, after which the servers have less room.
	minBrittleDuration, maxBrittleDuration = 9 * time.Second, 13 * time.Second
	// maxSurvived and maxRoom bound what is drawn for it; in half of the stretches no
	// call may wait.
	maxSurvived, maxRoom = 4, 8
	// domainCount is the number of failure domains of the entry hosts.
	domainCount = 2
)

// Plan generates the faults of a run of the given length, ordered by start. It
// depends on its arguments alone.
func Plan(seed uint64, length time.Duration, processes, links, entries int) []Fault {
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
	// The random numbers of the faults above stay as they were before there were others.
	rng = rand.New(rand.NewPCG(seed, 1))
	cuts := planCuts(rng, length, entries)
	faults = append(faults, cuts...)
	end := length
	if n := len(cuts); n > 0 {
		end = max(end, cuts[n-1].Start+cuts[n-1].Duration)
	}
	for range end / meanSilenceInterval {
		faults = append(faults, Fault{
			Kind: Silence, Target: rng.IntN(links), Start: between(rng, 0, end), Duration: between(rng, minSilence, maxSilence),
		})
	}
	rng = rand.New(rand.NewPCG(seed, 2))
	if rng.IntN(3) > 0 {
		faults = append(faults, Fault{
			Kind: Brittle, Start: between(rng, 0, length), Duration: between(rng, minBrittleDuration, maxBrittleDuration),
			Survives: 1 + rng.IntN(maxSurvived), Room: max(rng.IntN(2*maxRoom)-maxRoom, 0),
		})
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return faults
}

// between returns a random duration.
func between(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// planCuts returns cuts of some but not all entry hosts, one after the other. The last
// one begins at the end and is long, so that it outlasts the faults of processes.
func planCuts(rng *rand.Rand, length time.Duration, entries int) []Fault {
	if entries < 2 {
		return nil
	}
	var cuts []Fault
	for start := between(rng, 0, maxCutInterval); start+maxCutDuration+lastCutStart < length; {
		f := planCut(rng, start, minCutDuration, entries)
		cuts = append(cuts, f)
		start += f.Duration + between(rng, 0, maxCutInterval)
	}
	start := length - between(rng, 0, min(length, lastCutStart))
	return append(cuts, planCut(rng, start, minLastCutDuration, entries))
}

// planCut returns a cut of some entry hosts or of all those of one failure domain.
func planCut(rng *rand.Rand, start, minDuration time.Duration, entries int) Fault {
	f := Fault{
		Kind: []Kind{Stall, Reset, Refuse}[rng.IntN(3)], Hosts: rng.Perm(entries)[:1+rng.IntN(entries-1)],
		Start: start, Duration: between(rng, minDuration, maxCutDuration),
	}
	if d := rng.IntN(2 * domainCount); d < domainCount {
		f.Hosts = slices.DeleteFunc(rng.Perm(entries), func(h int) bool { return h%domainCount != d })
	}
	return f
}
