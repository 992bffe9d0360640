package rationer

import "time"

const (
	// nextWait and lowWait are the expected waits for other calls, as multiples of the
	// target, above which calls are turned away: those of the rank next to the most
	// urgent one, and those of all ranks after that.
	nextWait = 4.0
	lowWait  = 2.0
	// admittedShare is the part of the calls of a rank that are admitted whatever the
	// wait.
	admittedShare = 0.3
	// deadlineExcess is the expected time to the first content, as a multiple of the time
	// before the deadline, above which a call is turned away: the expectation is rough.
	deadlineExcess = 1.5
)

// Rank is the urgency of a call; 0 is the most urgent.
type Rank int

// moreUrgent returns how many of the ranks are more urgent than r.
func moreUrgent(ranks []int, r Rank) int {
	n := 0
	for _, other := range ranks {
		if Rank(other) < r {
			n++
		}
	}
	return n
}

// Call is a call for which the placer has found a server.
type Call struct {
	Rank Rank
	// Wait is the part of the time to the first content at that server for which the
	// call waits for others, and First the whole of that time; 0 means not known.
	Wait, First time.Duration
	// Target is the time within which the first content is on time, Remaining the time
	// before the deadline; 0 means that there is none.
	Target, Remaining time.Duration
}

// Decision is what happens to a call.
type Decision struct {
	// Refuse is whether the call is turned away.
	Refuse bool
	// Reason is why, for the caller and the log.
	Reason Reason
	// ReturnAfter is the time after which room is expected.
	ReturnAfter time.Duration
}

// Reason is why a call is turned away.
type Reason string

// The reasons.
const (
	NoTime     Reason = "it would not begin before its deadline"
	MoreUrgent Reason = "there is too little room, and more urgent calls go first"
)

// maxReturnTime bounds the time after which a call may come back.
const maxReturnTime = 5 * time.Second

// Decide decides on a call of a service whose calls have the given ranks. random returns
// a number from 0 to 1.
//
// It answers a service that has lost servers, or gets more calls than it can take: without
// it all calls wait for each other and most are late, whatever their rank.
func Decide(c Call, ranks []int, random func() float64) Decision {
	if c.Remaining > 0 && float64(c.First) > deadlineExcess*float64(c.Remaining) {
		return refuse(NoTime, c.Wait)
	}
	limit, ok := waitLimit(moreUrgent(ranks, c.Rank), c.Target)
	if !ok || c.Wait <= limit || random() < admittedShare {
		return Decision{}
	}
	return refuse(MoreUrgent, c.Wait-limit)
}

// waitLimit returns the wait above which a call is turned away if other ranks are
// more urgent, and false if there is no such limit.
func waitLimit(moreUrgent int, target time.Duration) (time.Duration, bool) {
	switch {
	case target <= 0 || moreUrgent == 0:
		return 0, false
	case moreUrgent == 1:
		return time.Duration(nextWait * float64(target)), true
	default:
		return time.Duration(lowWait * float64(target)), true
	}
}

// refuse returns a refusal.
func refuse(why Reason, after time.Duration) Decision {
	return Decision{Refuse: true, Reason: why, ReturnAfter: min(max(after, 0), maxReturnTime)}
}
