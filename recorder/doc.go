// Package recorder keeps the durable state of one replica in a folder: its
// identity, term, vote, log and latest snapshot.
//
// The log is a segment file that consists of frames. One frame holds everything
// that one call of Save stored, and the next frame is written only after the
// previous one was synced. If a valid frame follows a damaged one, the damaged
// one was therefore synced before, and Open refuses the folder as corrupt. A
// damaged frame at the end of the file is a torn write: a crash interrupted it
// before Save returned, so no message relies on it, and Open leaves it out. Close
// writes a last frame, so that after a clean shutdown damage to the last saved
// frame is not mistaken for a torn write.
//
// Without that last frame, Open writes what it read to a new segment before it
// returns. A frame whose sync failed, or was not reached, can be read as long as the
// system runs, although it is not stored.
//
// A checkpoint writes a snapshot file and starts a new segment that repeats the
// identity, term, vote and remaining log. Both are written to temporary files,
// synced, renamed and made durable by a sync of the folder, before older files
// are removed. Recovery reads one snapshot and one segment, so that its duration
// depends on the log since the last snapshot.
//
// After a failed write or sync, the recorder writes nothing more: the state of
// the file is unknown then, and a later successful sync would not show that the
// earlier data is stored (A. Rebello et al., "Can Applications Recover from
// fsync Failures?", USENIX ATC 2020).
//
// # Usage
//
//	rec, recovered, err := recorder.Open("data/group-0", 0)
//	if err != nil {
//		return err // names the file, the offset and the remedy
//	}
//	defer rec.Close()
//	r := replicator.New(replicator.Config{ID: recovered.Replica}, recovered.Stored, clock.Now())
//	...
//	err = rec.Save(effects) // returns once all Save effects are stored
package recorder
