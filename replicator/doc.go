// Package replicator decides what one replica of a majority log does next.
//
// It is a pure step machine: Replica.Step takes the present time and one Event
// and returns the Effects that the event calls for, as data. It does no I/O,
// reads no clock and starts no goroutine, so that a test can drive several
// replicas through lost, delayed, repeated and reordered messages, crashes and
// wiped disks in one thread.
//
// The algorithm is Raft, written from the published papers: D. Ongaro and
// J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014),
// called "Raft" below, and D. Ongaro, "Consensus: Bridging Theory and Practice"
// (dissertation, Stanford 2014), called "Ongaro" below. It covers
//
//   - terms, votes, log matching and commit by quorum (Raft, sections 5 and 8),
//   - pre-vote (Ongaro, section 9.6) and check-quorum (Ongaro, section 6.2),
//   - a leader lease backed by voters that refuse votes while they hear from a
//     leader (Ongaro, sections 4.2.3 and 6.4.1),
//   - linearizable reads by read index (Ongaro, section 6.4),
//   - one change of membership at a time (Ongaro, section 4.1), learners, and
//     promotion only once caught up (Ongaro, section 4.2.1),
//   - log compaction by snapshots (Raft, section 7).
//
// Promises and storage: a Send whose Promise is set may leave only after every
// earlier Save effect is on stable storage. Everything else may leave at once.
// The driver reports storage with the Synced event; a replica never counts an
// entry of its own towards a quorum before that.
//
// Identity: a ReplicaID belongs to one set of files. A replica that lost its
// files comes back under a fresh ReplicaID as a learner, because its old
// identity has votes and acknowledgements outstanding that it no longer knows
// of.
//
// # Usage
//
//	r := replicator.New(cfg, stored, clock.Now())
//	for event := range events {
//		for _, e := range r.Step(clock.Now(), event) {
//			switch e := e.(type) {
//			case replicator.SaveEntries:
//				disk.queue(e) // Synced{e.Seq} is the next event once it is synced
//			case replicator.Send:
//				...
//			case replicator.Apply:
//				...
//			}
//		}
//	}
package replicator
