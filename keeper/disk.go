package keeper

import (
	"cyclamenhub.org/recorder"
	"cyclamenhub.org/replicator"
)

// storage is the part of recorder.Recorder that the keeper uses.
type storage interface {
	Save(effects []replicator.Effect) error
	Snapshot() (replicator.Snapshot, error)
	Size() int64
	Close() error
}

var _ storage = (*recorder.Recorder)(nil)

// job is one unit of work for the disk goroutine. The goroutine stores the Save
// effects and then reads the snapshot if an effect needs it. The loop performs
// the remaining effects after that.
type job struct {
	effects []replicator.Effect
	// seq is the sequence number of the last Save effect, or 0.
	seq uint64
	// proposals is the number of proposals that share the sync.
	proposals int
}

// jobResult is the outcome of a job.
type jobResult struct {
	job
	snapshot replicator.Snapshot
	size     int64
	err      error
}

// runDisk runs jobs until the channel is closed.
func runDisk(s storage, jobs <-chan job, done chan<- jobResult) {
	for j := range jobs {
		done <- runJob(s, j)
	}
	close(done)
}

// runJob runs one job.
func runJob(s storage, j job) jobResult {
	f := jobResult{job: j}
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

// queueForDisk adds an effect that the disk goroutine must handle to the next
// job.
func (k *Keeper) queueForDisk(e replicator.Effect) {
	switch e := e.(type) {
	case replicator.SaveState:
		k.nextJob.seq = e.Seq
	case replicator.SaveEntries:
		k.nextJob.seq = e.Seq
	case replicator.SaveCheckpoint:
		k.nextJob.seq = e.Seq
	}
	k.nextJob.effects = append(k.nextJob.effects, e)
}

// flush sends the next job to the disk goroutine if that is idle.
func (k *Keeper) flush() {
	if k.failure != nil {
		k.nextJob = job{}
	}
	if k.diskBusy || len(k.nextJob.effects) == 0 {
		return
	}
	k.diskBusy = true
	k.proposalsPerSync.Update(float64(k.nextJob.proposals))
	k.jobs <- k.nextJob
	k.nextJob = job{}
}

// onJobDone performs the effects that waited for the disk.
func (k *Keeper) onJobDone(f jobResult) {
	k.diskBusy = false
	if f.err != nil {
		k.haltReplica(f.err)
	}
	if k.failure != nil {
		return
	}
	k.logBytes = f.size
	for _, e := range f.effects {
		switch e := e.(type) {
		case replicator.SaveCheckpoint:
			k.sizeAtSnapshot = f.size
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

// haltReplica halts this replica after its storage or its state machine
// returned err.
func (k *Keeper) haltReplica(err error) {
	k.failure = err
	k.replicaHalts.Inc()
	k.opts.Log.Error("replica halted because its storage or state machine failed", "group", k.opts.Group, "replica", k.id, "error", err)
	k.step(replicator.Halt{})
	k.failAccepted()
	k.submitHeld()
}
