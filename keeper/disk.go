package keeper

import (
	"cyclamenhub.org/recorder"
	"cyclamenhub.org/replicator"
)

// storage is what the keeper needs of a recorder.
type storage interface {
	Save(effects []replicator.Effect) error
	Snapshot() (replicator.Snapshot, error)
	Size() int64
	Close() error
}

var _ storage = (*recorder.Recorder)(nil)

// job is what the disk goroutine does in one go: it stores the Save effects
// and then reads the snapshot if any effect asks for it. The remaining effects
// wait for that and are performed afterwards.
type job struct {
	effects []replicator.Effect
	// seq is the number of the last Save effect, or 0.
	seq uint64
	// proposals counts the proposals that share the sync.
	proposals int
}

// finished is the outcome of a job.
type finished struct {
	job
	snapshot replicator.Snapshot
	size     int64
	err      error
}

// runDisk does jobs until there are no more.
func runDisk(s storage, jobs <-chan job, done chan<- finished) {
	for j := range jobs {
		done <- doJob(s, j)
	}
	close(done)
}

// doJob does one job.
func doJob(s storage, j job) finished {
	f := finished{job: j}
	if f.err = s.Save(j.effects); f.err != nil {
		return f
	}
	f.size = s.Size()
	for _, e := range j.effects {
		if _, ok := e.(replicator.SendSnapshot); ok {
			f.snapshot, f.err = s.Snapshot()
			break
		}
	}
	return f
}

// queue adds an effect that has to pass through the disk goroutine.
func (k *Keeper) queue(e replicator.Effect) {
	switch e := e.(type) {
	case replicator.SaveState:
		k.pending.seq = e.Seq
	case replicator.SaveEntries:
		k.pending.seq = e.Seq
	case replicator.SaveCheckpoint:
		k.pending.seq = e.Seq
	}
	k.pending.effects = append(k.pending.effects, e)
}

// flush hands everything that is queued to the disk goroutine, if it is idle.
func (k *Keeper) flush() {
	if k.failure != nil {
		k.pending = job{}
	}
	if k.busy || len(k.pending.effects) == 0 {
		return
	}
	k.busy = true
	k.batches.Update(float64(k.pending.proposals))
	k.jobs <- k.pending
	k.pending = job{}
}

// finish lets go of what waited for the disk.
func (k *Keeper) finish(f finished) {
	k.busy = false
	if f.err != nil {
		k.stepAside(f.err)
	}
	if k.failure != nil {
		return
	}
	k.size = f.size
	for _, e := range f.effects {
		switch e := e.(type) {
		case replicator.SaveCheckpoint:
			k.floor = f.size
		case replicator.Send:
			k.send(e.To, Replication{e.Message})
		case replicator.SendSnapshot:
			k.send(e.To, Replication{replicator.InstallSnapshot{Term: e.Term, Stamp: e.Stamp, Snapshot: f.snapshot}})
		}
	}
	if f.seq > 0 {
		k.step(replicator.Synced{Seq: f.seq})
	}
}

// stepAside takes this replica out of the group because its disk failed.
func (k *Keeper) stepAside(err error) {
	k.failure = err
	k.asides.Inc()
	k.opts.Log.Error("this replica steps aside", "group", k.opts.Group, "replica", k.id, "error", err)
	k.step(replicator.StepAside{})
	k.failAccepted()
	k.submitHeld()
}
