package recorder

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
)

// mustOpen opens a folder and fails the test on an error.
func mustOpen(t interface{ Fatal(...any) }, folder string) (*Recorder, Recovered) {
	r, recovered, err := Open(folder, 0)
	if err != nil {
		t.Fatal(err)
	}
	return r, recovered
}

// entries returns entries from first to last, all of one term.
func entries(first, last identifier.LogIndex, term identifier.Term) []replicator.Entry {
	var list []replicator.Entry
	for i := first; i <= last; i++ {
		list = append(list, replicator.Entry{Index: i, Term: term, Kind: replicator.Command, Data: fmt.Appendf(nil, "entry %d", i)})
	}
	return list
}

// save stores effects and fails the test on an error.
func save(t *testing.T, r *Recorder, effects ...replicator.Effect) {
	t.Helper()
	if err := r.Save(effects); err != nil {
		t.Fatal(err)
	}
}

// crash closes the files without a last frame and unlocks the folder, as the
// operating system does when a process is killed.
func crash(r *Recorder) {
	_ = r.file.Close()
	r.lock.Close()
}

// writeThreeFrames returns a folder with three saved frames of one entry each,
// and the sizes of its segment before each frame and after the last. orderly
// selects a clean shutdown instead of a crash.
func writeThreeFrames(t *testing.T, orderly bool) (folder string, sizes []int64) {
	t.Helper()
	folder = t.TempDir()
	r, _ := mustOpen(t, folder)
	for i := range identifier.LogIndex(3) {
		sizes = append(sizes, r.Size())
		save(t, r, replicator.SaveState{State: replicator.HardState{Term: 1}}, replicator.SaveEntries{Entries: entries(i+1, i+1, 1)})
	}
	sizes = append(sizes, r.Size())
	if !orderly {
		crash(r)
	} else if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	return folder, sizes
}

// damagedCopy returns a copy of a folder with change applied to its only
// segment.
func damagedCopy(t *testing.T, folder string, change func(b []byte) []byte) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(folder, segmentName(1)))
	if err != nil {
		t.Fatal(err)
	}
	other := t.TempDir()
	if err := os.WriteFile(filepath.Join(other, segmentName(1)), change(b), 0o600); err != nil {
		t.Fatal(err)
	}
	return other
}

// flipByte returns a change that flips bits of the byte at the given offset.
func flipByte(at int64) func([]byte) []byte {
	return func(b []byte) []byte { b[at] ^= 0x5a; return b }
}

// TestTornTailIsTruncated checks that Open recovers all earlier frames, and that
// Save can continue after them, when a crash tore the last frame. It cuts off,
// flips or zeroes the last frame at each of its bytes.
func TestTornTailIsTruncated(t *testing.T) {
	folder, sizes := writeThreeFrames(t, false)
	for at := sizes[2]; at < sizes[3]; at++ {
		for name, change := range map[string]func([]byte) []byte{
			"cut":     func(b []byte) []byte { return b[:at] },
			"flipped": flipByte(at),
			"zeroed":  func(b []byte) []byte { clear(b[at:]); return b },
		} {
			r, recovered := mustOpen(t, damagedCopy(t, folder, change))
			if diff := cmp.Diff(entries(1, 2, 1), recovered.Stored.Entries); diff != "" {
				t.Fatalf("%s at %d (-want +got):\n%s", name, at, diff)
			}
			save(t, r, replicator.SaveEntries{Entries: entries(3, 3, 2)})
			crash(r)
			r, recovered = mustOpen(t, r.folder)
			if n := len(recovered.Stored.Entries); n != 3 {
				t.Fatalf("%s at %d: %d entries after another save, want 3", name, at, n)
			}
			crash(r)
		}
	}
}

// TestDamagedSyncedFrameIsRefused checks that Open refuses a segment with damage
// to a synced frame. It damages each byte: after a crash up to the last frame,
// which may be torn, and after a clean shutdown up to the end of that frame.
func TestDamagedSyncedFrameIsRefused(t *testing.T) {
	for _, orderly := range []bool{false, true} {
		folder, sizes := writeThreeFrames(t, orderly)
		end := sizes[2]
		if orderly {
			end = sizes[3]
		}
		for at := range end {
			_, _, err := Open(damagedCopy(t, folder, flipByte(at)), 0)
			var corrupt *CorruptError
			if !errors.As(err, &corrupt) {
				t.Fatalf("orderly %v, damage at %d: error %v, want a CorruptError", orderly, at, err)
			}
		}
	}
}

// TestFolderIsLocked checks that a second Open of a folder in use fails, and
// that a folder keeps its identity.
func TestFolderIsLocked(t *testing.T) {
	folder := t.TempDir()
	r, first := mustOpen(t, folder)
	_, _, err := Open(folder, 0)
	if diff := cmp.Diff(&LockedError{folder}, err, cmpopts.EquateErrors()); diff == "" || !errors.As(err, new(*LockedError)) {
		t.Fatalf("second open: error %v, want a LockedError", err)
	}
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	_, again := mustOpen(t, folder)
	if !first.Fresh || again.Fresh || first.Replica != again.Replica {
		t.Errorf("identities %+v and %+v, want a new one and then the same one", first, again)
	}
	if _, _, err := Open(t.TempDir()+"/x\x00", 0); !errors.As(err, new(*DiskError)) {
		t.Errorf("invalid folder name: error %v, want a DiskError", err)
	}
}

// failingFile fails with err once more than *left bytes are written.
type failingFile struct {
	File
	left *int
	err  error
}

func (f failingFile) Write(b []byte) (int, error) {
	if *f.left -= len(b); *f.left < 0 {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, f.err
	}
	return f.File.Write(b)
}

// failingFiles opens failing files.
type failingFiles struct {
	Disk
	left *int
}

func (d failingFiles) OpenFile(path string, flags int) (File, error) {
	f, err := os.OpenFile(path, flags, 0o600)
	return failingFile{f, d.left, syscall.ENOSPC}, err
}

// TestFullDiskLosesNothing checks that a full disk loses no saved entry. The disk
// fills up during a write, after which Save keeps failing even with free space.
// A restart recovers everything that was saved before.
func TestFullDiskLosesNothing(t *testing.T) {
	folder, left := t.TempDir(), 1000
	r, _, err := OpenWith(failingFiles{left: &left}, folder, 0)
	if err != nil {
		t.Fatal(err)
	}
	var saved identifier.LogIndex
	for err == nil {
		if err = r.Save([]replicator.Effect{replicator.SaveEntries{Entries: entries(saved+1, saved+1, 1)}}); err == nil {
			saved++
		}
	}
	want := "data folder: write the log: no space left on device: free space on the disk and start the process again"
	if diff := cmp.Diff(want, err.Error()); diff != "" {
		t.Fatalf("error (-want +got):\n%s", diff)
	}
	left = 1 << 20
	if again := r.Save([]replicator.Effect{replicator.SaveState{}}); !errors.Is(again, syscall.ENOSPC) {
		t.Fatalf("a save after the failure: error %v, want the same error", again)
	}
	crash(r)
	_, recovered := mustOpen(t, folder)
	if diff := cmp.Diff(entries(1, saved, 1), recovered.Stored.Entries); diff != "" {
		t.Fatalf("entries (-want +got):\n%s", diff)
	}
}

// TestStoredEqualsSaved saves, writes checkpoints and restarts in random order,
// and compares the recovered state with a model.
func TestStoredEqualsSaved(t *testing.T) {
	parent := t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		folder, err := os.MkdirTemp(parent, "")
		if err != nil {
			t.Fatal(err)
		}
		r, _ := mustOpen(t, folder)
		defer func() { crash(r) }()
		var model replicator.Stored
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if rapid.Bool().Draw(t, "killed") {
					crash(r)
				} else if err := r.Close(); err != nil {
					t.Fatal(err)
				}
				var recovered Recovered
				r, recovered = mustOpen(t, folder)
				if diff := cmp.Diff(model, recovered.Stored, cmpopts.EquateEmpty()); diff != "" {
					t.Fatalf("stored (-want +got):\n%s", diff)
				}
			case 1:
				checkpointModel(&model, rapid.IntRange(0, len(model.Entries)).Draw(t, "base"))
				mustSave(t, r, replicator.SaveCheckpoint{Stored: model})
			default:
				mustSave(t, r, drawEntries(t, &model)...)
			}
		}
	})
}

// mustSave stores effects and fails the test on an error.
func mustSave(t *rapid.T, r *Recorder, effects ...replicator.Effect) {
	if err := r.Save(effects); err != nil {
		t.Fatal(err)
	}
}

// checkpointModel replaces the first n entries of the model by a snapshot.
func checkpointModel(model *replicator.Stored, n int) {
	if n > 0 {
		model.Base = replicator.Position{Index: model.Entries[n-1].Index, Term: model.Entries[n-1].Term}
	}
	model.Entries = model.Entries[n:]
	model.Snapshot = replicator.Snapshot{Position: model.Base, Data: fmt.Appendf(nil, "state at %d", model.Base.Index)}
	if model.Base.Index == 0 {
		model.Snapshot.Data = nil
	}
}

// drawEntries overwrites and appends random entries in the model, and returns
// the effects that do the same.
func drawEntries(t *rapid.T, model *replicator.Stored) []replicator.Effect {
	keep := rapid.IntRange(0, len(model.Entries)).Draw(t, "keep")
	model.State.Term++
	first := model.Base.Index + identifier.LogIndex(keep) + 1
	list := entries(first, first+identifier.LogIndex(rapid.IntRange(0, 5).Draw(t, "more")), model.State.Term)
	model.Entries = append(model.Entries[:keep:keep], list...)
	return []replicator.Effect{replicator.SaveState{State: model.State}, replicator.SaveEntries{Entries: list}}
}
