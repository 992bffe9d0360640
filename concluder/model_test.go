package concluder

import (
	"time"

	"cyclamenhub.org/connector"
)

// fate is what becomes of the process of a server.
type fate uint8

const (
	goesOn fate = iota
	endsInOrder
	endsPortFirst // in order, and it refuses connections before its last answers
	dies          // amid its answers
	comesBack     // it dies and starts again under its id
	isReplaced    // it dies and another server gets its address
	fates
)

// hostState is what becomes of the host that has the answers.
type hostState uint8

const (
	isSound hostState = iota
	stoodStill
	isCutOff      // new connections to all servers are refused, open ones live on
	isStillCutOff // it stood still and is cut off then
	isIgnored     // new connections to the server are neither accepted nor refused
	hostStates
)

// scenario is the end of the answers of one server at one host.
type scenario struct {
	Fate fate
	Host hostState
	// Answers is how many there are, ended Gap after each other if the server ends them itself.
	Answers int
	Gap     time.Duration
	// Quiet is how long before its end an answer got its last bytes.
	Quiet time.Duration
	// Leaves is set if the server leaves, and Heard if the host knows, since KnownFor.
	Leaves, Heard bool
	KnownFor      time.Duration
	ServesFor     time.Duration
	// IsNamed is set if a time is named at which the server is taken away, GoneIn after the end.
	IsNamed bool
	GoneIn  time.Duration
	// IsSilent is set if nothing came of the answers for long before their last bytes.
	IsSilent bool
	// HasIdle is set if the host has an idle connection to the server.
	HasIdle bool
	// Breaks is set if the server has one more answer, with chunks, which shows that it is cut.
	Breaks bool
	// HasBirth is set if the list and the server itself say when it started.
	HasBirth bool
	// IsInterrupted is set if the host ends the calls before it has found out all.
	IsInterrupted bool
	// IsMute is set if the process at the address does not say which one it is.
	IsMute bool
}

// isPossible reports whether servers and hosts behave so: one that ends in order leaves, and has
// served its time. A host may hear of that late, or not at all.
func (s *scenario) isPossible() bool {
	inOrder := s.Fate == endsInOrder || s.Fate == endsPortFirst
	if s.Heard && !s.Leaves || s.IsNamed && !s.Heard || inOrder && (!s.Leaves || s.Breaks) {
		return false
	}
	return s.Fate != goesOn || !s.Breaks
}

// isOld reports whether the host finds ends that came some time ago, since it stood still.
func (s *scenario) isOld() bool { return s.Host == stoodStill || s.Host == isStillCutOff }

// isWhole reports whether the answers are whole.
func (s *scenario) isWhole() bool {
	return s.Fate == goesOn || s.Fate == endsInOrder || s.Fate == endsPortFirst
}

// evidence returns what the host finds of each answer.
func (s *scenario) evidence() []Evidence {
	ends := make([]connector.End, s.Answers)
	for i := range ends {
		ends[i] = connector.End{At: s.endAt(i), Quiet: s.Quiet}
	}
	out := make([]Evidence, s.Answers)
	for i := range ends {
		others := make([]connector.End, 0, s.Answers)
		others = append(append(others, ends[:i]...), ends[i+1:]...)
		if s.Breaks {
			others = append(others, connector.End{At: s.endAt(0), Quiet: s.Quiet, Broken: true})
		}
		out[i] = s.evidenceOf(ends[i], others, i)
	}
	return out
}

// endAt returns when the host sees the end of an answer.
func (s *scenario) endAt(i int) time.Time {
	at := time.Unix(1e9, 0)
	if s.isWhole() && !s.isOld() {
		at = at.Add(time.Duration(i) * s.Gap)
	}
	return at
}

// evidenceOf returns what the host finds of the answer with an index.
func (s *scenario) evidenceOf(own connector.End, others []connector.End, i int) Evidence {
	e := Evidence{Old: s.isOld() || s.IsSilent, StoodStill: s.isOld(), Leaves: s.Heard, ServesFor: s.ServesFor, Group: GroupOf(own, others)}
	if s.Heard {
		e.LeavingFor, e.IsNamed, e.GoneIn, e.Lag = s.KnownFor, s.IsNamed, s.GoneIn, listLag
	}
	e.Process, e.Identity = s.process(), s.identity()
	if s.IsInterrupted && !s.isOld() {
		e.Process, e.Interrupted = Unknown, true
	}
	e.GoesOn = e.MayGoOn() && s.hasOpen(i == s.Answers-1)
	return e
}

// hasOpen reports whether the host has an open connection to the server when it looks for one.
func (s *scenario) hasOpen(isLast bool) bool {
	switch {
	case s.Fate == goesOn:
		return s.HasIdle || !isLast && s.Gap > longGap
	case s.isWhole(): // Its process is gone by then, unless other answers take long.
		return !isLast && s.Gap > longGap && !s.isOld()
	default:
		return false
	}
}

// listLag is how much later than a server the hosts may learn when it is taken away.
const listLag = 1500 * time.Millisecond

// longGap is a time after which a host has found out all that it can of an end.
const longGap = 200 * time.Millisecond

// process returns what a new connection of the host shows.
func (s *scenario) process() Process {
	isBack := s.Fate == comesBack || s.Fate == isReplaced
	switch {
	case s.Host == isIgnored:
		return Unknown
	case s.Host == isCutOff, s.Host == isStillCutOff:
		return CutOff
	case s.Fate == goesOn, s.isOld() && isBack:
		return Up
	default:
		return Ended // One that comes back does so later.
	}
}

// identity returns what the process says that a host asks which has found an old end.
func (s *scenario) identity() Identity {
	switch {
	case !s.isOld() && !s.IsSilent || s.IsMute || s.process() != Up:
		return Unasked
	case s.Fate == isReplaced:
		return Other
	case !s.HasBirth:
		return SameID
	case s.Fate == comesBack:
		return Other
	default:
		return Same
	}
}
