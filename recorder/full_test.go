package recorder_test

import (
	"errors"
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/recorder"
	"cyclamenhub.org/recorder/standin"
	"cyclamenhub.org/replicator"
)

// fullDisk is a folder on a disk that is full now and then, and what is known of its
// content.
type fullDisk struct {
	t      *rapid.T
	disk   *standin.Disk
	folder string
	rec    *recorder.Recorder
	// acknowledged is what was saved last without an error, and attempted what was to
	// be saved after that, if a save has failed.
	acknowledged replicator.Stored
	attempted    *replicator.Stored
}

// newFullDisk opens an empty folder, which does not run out of room yet.
func newFullDisk(t *rapid.T, parent string) *fullDisk {
	folder, err := os.MkdirTemp(parent, "")
	if err != nil {
		t.Fatal(err)
	}
	f := &fullDisk{t: t, disk: standin.NewDisk(), folder: folder}
	f.reopen()
	return f
}

// reopen opens the folder and compares what it holds with what is known of it. While
// the disk is full it reports whether that was possible.
func (f *fullDisk) reopen() bool {
	refused := f.disk.Refused(f.folder)
	rec, recovered, err := recorder.OpenWith(f.disk, f.folder, 0)
	if err != nil {
		if f.disk.Refused(f.folder) == refused || !errors.As(err, new(*recorder.DiskError)) {
			f.t.Fatalf("open: %v, want a DiskError of a full disk alone", err)
		}
		return false
	}
	f.rec = rec
	f.compare(recovered.Stored)
	return true
}

// compare checks that stored is what was acknowledged, or what a failed save was to
// store as a whole, and takes it as acknowledged from now on.
func (f *fullDisk) compare(stored replicator.Stored) {
	diff := cmp.Diff(f.acknowledged, stored, cmpopts.EquateEmpty())
	if diff != "" && (f.attempted == nil || !cmp.Equal(*f.attempted, stored, cmpopts.EquateEmpty())) {
		f.t.Fatalf("stored (-acknowledged +got):\n%s", diff)
	}
	f.acknowledged, f.attempted = stored, nil
}

// save saves a frame or a checkpoint. It closes the recorder and reports false if that
// fails.
func (f *fullDisk) save(next replicator.Stored, effects []replicator.Effect) bool {
	refused := f.disk.Refused(f.folder)
	err := f.rec.Save(effects)
	if err == nil {
		f.acknowledged = next
		return true
	}
	if f.disk.Refused(f.folder) == refused || !errors.As(err, new(*recorder.DiskError)) {
		f.t.Fatalf("save: %v, want a DiskError of a full disk alone", err)
	}
	f.attempted = &next
	_ = f.rec.Close() // Close returns the failure again.
	return false
}

// draw returns a state that follows the acknowledged one, and the effects that store
// it.
func (f *fullDisk) draw() (replicator.Stored, []replicator.Effect) {
	next := f.acknowledged
	if rapid.IntRange(0, 3).Draw(f.t, "checkpoint") == 0 && len(next.Entries) > 0 {
		last := next.Entries[len(next.Entries)-1]
		next.Base = replicator.Position{Index: last.Index, Term: last.Term}
		next.Snapshot = replicator.Snapshot{Position: next.Base, Data: fmt.Appendf(nil, "state at %d", last.Index)}
		next.Entries = nil
		return next, []replicator.Effect{replicator.SaveCheckpoint{Stored: next}}
	}
	next.State.Term++
	e := replicator.Entry{
		Index: next.Base.Index + identifier.LogIndex(len(next.Entries)) + 1, Term: next.State.Term,
		Kind: replicator.Command, Data: fmt.Appendf(nil, "entry of term %d", next.State.Term),
	}
	next.Entries = append(next.Entries[:len(next.Entries):len(next.Entries)], e)
	return next, []replicator.Effect{replicator.SaveState{State: next.State}, replicator.SaveEntries{Entries: []replicator.Entry{e}}}
}

// losePower crashes the recorder with the power of its disk, and opens the folder
// again.
func (f *fullDisk) losePower() {
	recorder.Crash(f.rec)
	if err := f.disk.LosePower(); err != nil {
		f.t.Fatal(err)
	}
	f.reopen()
}

// TestFullDiskComesBack fills the disk at each of the operations that saves,
// checkpoints and openings make, tries to open the folder while it is full, and gives
// it room again. What was acknowledged, or taken as stored by an opening, must
// survive that and the loss of power afterwards.
func TestFullDiskComesBack(t *testing.T) {
	parent := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		f := newFullDisk(t, parent)
		for range rapid.IntRange(1, 6).Draw(t, "times full") {
			f.disk.Fill(rapid.SampledFrom([]standin.Failure{standin.Everything, standin.Syncs}).Draw(t, "failure"),
				rapid.IntRange(0, 12).Draw(t, "after"))
			for open := true; open; {
				open = f.save(f.draw())
			}
			if f.reopen() {
				_ = f.rec.Close() // the disk may be full when it marks a clean shutdown
			}
			f.disk.Free()
			if !f.reopen() {
				t.Fatal("the folder cannot be opened with room on its disk")
			}
			if rapid.Bool().Draw(t, "power is lost") {
				f.losePower()
			}
			if !f.save(f.draw()) {
				t.Fatal("nothing can be saved with room on the disk")
			}
		}
		recorder.Crash(f.rec)
	})
}

// TestFailedSyncIsNotTakenForStored guards against a frame whose sync failed being
// taken as stored by the next opening, and lost with the power after that.
func TestFailedSyncIsNotTakenForStored(t *testing.T) {
	disk, folder := standin.NewDisk(), t.TempDir()
	rec, _, err := recorder.OpenWith(disk, folder, 0)
	if err != nil {
		t.Fatal(err)
	}
	disk.Fill(standin.Syncs, 0)
	effects := []replicator.Effect{replicator.SaveState{State: replicator.HardState{Term: 7, Vote: 3}}}
	if err := rec.Save(effects); !errors.As(err, new(*recorder.DiskError)) {
		t.Fatalf("save: %v, want a DiskError", err)
	}
	disk.Free()
	_ = rec.Close() // Close returns the failure again.
	rec, first, err := recorder.OpenWith(disk, folder, 0)
	if err != nil {
		t.Fatal(err)
	}
	recorder.Crash(rec)
	if err := disk.LosePower(); err != nil {
		t.Fatal(err)
	}
	rec, second, err := recorder.OpenWith(disk, folder, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer recorder.Crash(rec)
	if diff := cmp.Diff(first.Stored, second.Stored, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("stored before and after the loss of power (-before +after):\n%s", diff)
	}
}
