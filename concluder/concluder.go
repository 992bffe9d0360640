package concluder

import (
	"time"

	"cyclamenhub.org/connector"
)

// Verdict is how an answer ended.
type Verdict uint8

// Kinds of Verdict.
const (
	// Cut: the process of the server has ended, and may have done so amid the answer.
	Cut Verdict = iota
	// AssumedWhole: nothing shows that it was cut.
	AssumedWhole
	// Whole: it has its length or its last chunk, or its server went on after it.
	Whole
)

// String returns the name of a Verdict in logs.
func (v Verdict) String() string { return [...]string{"cut", "assumedWhole", "whole"}[v] }

// Process is what a new connection showed of the process of a server after the end of an answer.
type Process uint8

// Kinds of Process.
const (
	// Unknown: the connection was neither kept nor refused.
	Unknown Process = iota
	// Up: it was accepted and kept.
	Up
	// Ended: it was refused, and this host is not cut off.
	Ended
	// CutOff: it was refused to a host that is cut off.
	CutOff
)

// String returns the name of a Process in logs.
func (p Process) String() string { return [...]string{"unknown", "up", "ended", "cutOff"}[p] }

// Identity is what the process at the address of a server says of itself.
type Identity uint8

// Kinds of Identity.
const (
	// Unasked: it was not asked, or did not answer in time.
	Unasked Identity = iota
	// Same: it is the run that the request was sent to.
	Same
	// SameID: it has the id of the server. It may have started again under it.
	SameID
	// Other: it is another one, so that the run has ended.
	Other
)

// Evidence is what is known of the end of an answer.
type Evidence struct {
	Process Process
	// Identity counts where the end may be old.
	Identity Identity
	// Interrupted is set if this host has ended the call before all was found out.
	Interrupted bool
	// Old is set if the end may have come some time before it was seen: this host, the server
	// or the network stood still, or the server was silent. StoodStill is set if this host did.
	Old, StoodStill bool
	// Leaves is set if the server has said that it leaves, or the list has.
	Leaves bool
	// LeavingFor is for how long at most it was known then that it leaves, and ServesFor for
	// how long servers serve at least that leave in order, 0 if that is not known.
	LeavingFor, ServesFor time.Duration
	// IsNamed is set if a time was named at which the server is taken away, and GoneIn is how
	// long after the end that is at most, less than 0 if it had passed. It may be Lag less.
	IsNamed     bool
	GoneIn, Lag time.Duration
	Group       Group
	// GoesOn is set if an older connection to the run was open some time after the end.
	GoesOn bool
}

// Judge returns how the answer ended.
func (e *Evidence) Judge() Verdict {
	if e.Identity == Other || e.Interrupted && e.Process != Up {
		return Cut
	}
	switch e.Process {
	case Up:
		if e.Old && e.Identity != Same {
			return AssumedWhole
		}
		return Whole
	case Ended:
		return e.judgeEnded()
	case CutOff:
		return e.judgeCutOff()
	default:
		return AssumedWhole
	}
}

// judgeEnded judges an answer whose server refuses new connections to a host that is not cut off.
func (e *Evidence) judgeEnded() Verdict {
	switch {
	case !e.Leaves:
		return Cut
	case e.GoesOn:
		return AssumedWhole // It has only stopped to accept connections.
	case e.Group.Broken:
		return Cut
	case e.isTakenAway() && !e.endsEarly():
		return Cut
	case e.hasServedItsTime(), e.Group.isInOrder(e.StoodStill):
		return AssumedWhole
	default:
		return Cut
	}
}

// judgeCutOff judges an answer whose server refuses new connections as all others do. Answers of a
// server that is up end one by one, and those of one that dies together.
func (e *Evidence) judgeCutOff() Verdict {
	if e.GoesOn || e.Group.isInOrder(e.StoodStill) {
		return AssumedWhole
	}
	return Cut
}

// MayGoOn reports whether it matters for the verdict if an older connection to the run is open.
func (e *Evidence) MayGoOn() bool {
	return e.Process == CutOff || e.Process == Ended && e.Leaves
}

// hasServedItsTime reports whether the server has served on for as long as one that leaves in
// order does at least. When an end came while this host stood still is not known.
func (e *Evidence) hasServedItsTime() bool {
	return e.ServesFor > 0 && e.LeavingFor >= e.ServesFor && !e.StoodStill
}

// isTakenAway reports whether the server ends by being taken away, whatever it is at: a time was
// named for that, and it has not gone on after it. When an end came while this host stood still is
// not known.
func (e *Evidence) isTakenAway() bool { return e.IsNamed && (e.GoneIn > -overtime || e.StoodStill) }

// endsEarly reports whether the server ended its answers itself, well before it is taken away.
func (e *Evidence) endsEarly() bool { return e.GoneIn > e.Lag && e.Group.Prompt && !e.StoodStill }

const (
	// overtime is how long after the time that was named for it a server may be taken away. One
	// that answers later was not.
	overtime = 500 * time.Millisecond
	// promptTime is how long after its last bytes the end of an answer may come that its server
	// has ended itself.
	promptTime = 250 * time.Microsecond
)

// ClosingTime is how long a process that dies may take to close its connections: by then the other
// ends of the group of an end are there.
const ClosingTime = 10 * time.Millisecond

// Group is the ends of answers of one run of a server that came together, as all of a process
// that dies do.
type Group struct {
	// Others is the number of other answers in it.
	Others int
	// Broken is set if one of them is not complete by what it holds.
	Broken bool
	// Prompt is set if each end came with the last bytes of its answer.
	Prompt bool
}

// GroupOf returns the group of the end of an answer, of other ends at the same run.
func GroupOf(own connector.End, others []connector.End) Group {
	g := Group{Prompt: isPrompt(own)}
	for _, e := range others {
		if e.At.Sub(own.At).Abs() > ClosingTime {
			continue
		}
		g.Others++
		g.Broken = g.Broken || e.Broken
		g.Prompt = g.Prompt && isPrompt(e)
	}
	return g
}

// isPrompt reports whether an end came with the last bytes of its answer.
func isPrompt(e connector.End) bool { return e.Quiet <= promptTime }

// isInOrder reports whether the server may have ended the answers of the group itself: there is
// only one, or each ended with its last bytes. Bytes and ends wait together for a host that stands
// still.
func (g *Group) isInOrder(stoodStill bool) bool {
	return !g.Broken && (g.Others == 0 || g.Prompt && !stoodStill)
}
