// Package replicator implements the Raft consensus algorithm for one replica of
// a replicated log.
//
// It is a deterministic state machine: Replica.Step takes the current time and
// one Event and returns, as data, the Effects that the driver has to carry out.
// The package does no I/O, reads no clock and starts no goroutines, so that a
// test can run several replicas in one goroutine and simulate lost, delayed,
// repeated and reordered messages, crashes and lost disks.
//
// The implementation follows the published papers: D. Ongaro and
// J. Ousterhout, "In Search of an Understandable Consensus Algorithm" (2014),
// called "Raft" below, and D. Ongaro, "Consensus: Bridging Theory and Practice"
// (dissertation, Stanford 2014), called "Ongaro" below. It includes
//
//   - terms, votes, log matching and commit by quorum (Raft, sections 5 and 8),
//   - pre-vote (Ongaro, section 9.6) and check-quorum (Ongaro, section 6.2),
//   - a leader lease, which holds because voters refuse votes for an election
//     timeout after each message of a leader (Ongaro, sections 4.2.3 and 6.4.1),
//   - linearizable reads by read index (Ongaro, section 6.4),
//   - one change of membership at a time (Ongaro, section 4.1), and learners,
//     which become voters only once they have caught up (Ongaro, section 4.2.1),
//   - log compaction by snapshots (Raft, section 7).
//
// Storage: a Send whose AfterSync is set relies on stored state, such as a vote
// or the entries that it acknowledges. The driver may send it only after every
// earlier Save effect is on stable storage, and all other messages immediately.
// The driver reports completed Save effects with the Synced event. A replica
// does not count its own vote or entries towards a quorum before that event.
//
// Identity: a ReplicaID belongs to one set of files. A replica that lost its
// files must rejoin as a learner with a new ReplicaID. Under the old one it gave
// votes and acknowledgements of which it no longer has a record, so it could
// vote twice in a term.
//
// # Usage
//
//	r := replicator.New(cfg, stored, clock.Now())
//	for event := range events {
//		for _, e := range r.Step(clock.Now(), event) {
//			switch e := e.(type) {
//			case replicator.SaveEntries:
//				disk.queue(e) // report Synced{e.Seq} once e is stored
//			case replicator.Send:
//				...
//			case replicator.Apply:
//				...
//			}
//		}
//	}
package replicator
