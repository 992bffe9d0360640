// Package evacuator holds the failure domains that operators have evacuated.
//
// A backend server in an evacuated failure domain gets no new call: no first
// attempt, no retry and no resumed stream. Calls that run there end as they are.
// A service all of whose servers are in evacuated domains has no server.
//
// The Book is part of the replicated state. Its Apply method is pure: the same
// events give the same Book on every replica. Starting an evacuation that is in
// force, or ending one that is not, changes nothing, so that an operator may send
// a request again whose answer was lost, to any keeper.
//
// Hosts learn the Book as a topic of the distributor. The sequence of the newest
// Book comes with every answer of the leader, and a host renews its lease only
// once it has that Book. Withdrawn returns the domains whose evacuation has ended
// between two Books: their servers may be cold.
//
// # Usage
//
//	var b evacuator.Book
//	changed := b.Apply(evacuator.Start{Domain: "a", At: now})
//	if b.Includes("a") {
//		// Choose a server elsewhere.
//	}
package evacuator
