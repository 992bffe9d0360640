// Package recorder keeps the durable state of one replica in a folder: its
// identity, term, vote, log and latest snapshot.
//
// The log is a segment file of frames. One frame holds everything that was
// saved by one call of Save, and the next frame is written only after the one
// before it was synced. A damaged frame with a valid one after it was therefore
// synced once and counts as corruption: Open refuses the folder. A damaged
// frame at the very end is a write that a crash tore; nothing was promised on
// its strength and Open cuts it off. Close writes a last frame, so that after
// an orderly stop damage to the last saved frame is told from a torn one.
//
// A checkpoint starts a new segment that repeats identity, term, vote and what
// remains of the log, next to a snapshot file. Both are written to temporary
// files, synced, renamed and made durable by a sync of the folder, before
// older files are removed. Recovery reads one snapshot and one segment and is
// bounded by the distance between snapshots.
//
// After a failed write or sync nothing more is written: the state of the file
// is unknown then, and a later sync that succeeds would prove nothing (A.
// Rebello et al., "Can Applications Recover from fsync Failures?", USENIX ATC
// 2020).
//
// # Usage
//
//	rec, found, err := recorder.Open("data/group-0", 0)
//	if err != nil {
//		return err // names the file, the place in it and the remedy
//	}
//	defer rec.Close()
//	r := replicator.New(replicator.Config{ID: found.Replica}, found.Stored, clock.Now())
//	...
//	err = rec.Save(effects) // returns once all Save effects are stored
package recorder
