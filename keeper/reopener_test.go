package keeper

import (
	"log/slog"
	"path/filepath"
	"testing"
	"testing/synctest"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/recorder/standin"
	"cyclamenhub.org/timer"
)

// newFullReopener returns a reopener of a group of one on a disk that a test may fill,
// and the folder of the group.
func newFullReopener(t *testing.T) (*Reopener, *standin.Disk, string) {
	disk, folder := standin.NewDisk(), t.TempDir()
	log := slog.New(slog.DiscardHandler)
	r := NewReopener(func() (*Keeper, error) {
		return Open(Options{
			Host: "k1", Hosts: []identifier.Host{"k1"}, DataFolder: folder, Files: disk,
			StateMachine: &machine{}, Clock: timer.System{}, Log: log,
		})
	}, log)
	if err := r.Open(); err != nil {
		t.Fatal(err)
	}
	return r, disk, filepath.Join(folder, "group-0")
}

// propose proposes an entry until it is acknowledged or the replica has failed, and
// reports whether it was acknowledged.
func propose(t *testing.T, k *Keeper, entry string) bool {
	for k.Status().Failure == nil {
		if _, err := k.Propose(t.Context(), []byte(entry)); err == nil {
			return true
		}
	}
	return false
}

// TestReopenedOnceDiskHasRoom guards against a replica that stays halted after its disk
// was full for longer than several openings took.
func TestReopenedOnceDiskHasRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, disk, folder := newFullReopener(t)
		go r.Run(t.Context())
		propose(t, r.Load(), "before")
		disk.Fill(standin.Everything, 0)
		if propose(t, r.Load(), "during") {
			t.Fatal("an entry is acknowledged on a full disk")
		}
		for disk.Refused(folder) < 4 {
			timer.Sleep(t.Context(), ReopenInterval)
		}
		disk.Free()
		for failed := r.Load(); r.Load() == failed; {
			timer.Sleep(t.Context(), ReopenInterval)
		}
		if !propose(t, r.Load(), "after") {
			t.Error("nothing is acknowledged after the disk has room")
		}
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
}

// TestNothingIsReadFromReopenedReplica guards against a read that was confirmed by a
// replica and returns the state machine after it was emptied to open the replica again.
func TestNothingIsReadFromReopenedReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, disk, _ := newFullReopener(t)
		propose(t, r.Load(), "before")
		err := r.ReadState(t.Context(), func() {
			disk.Fill(standin.Syncs, 0)
			propose(t, r.Load(), "during")
			disk.Free()
			r.reopenFailed()
		})
		if err == nil {
			t.Error("a read across the opening of the replica succeeds")
		}
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
}
