package recorder

import (
	"fmt"
	"os"
	"path/filepath"

	"cyclamenhub.org/replicator"
)

// checkpoint replaces everything that is stored by s.
func (r *Recorder) checkpoint(s replicator.Stored) error {
	if r.failed != nil {
		return r.failed
	}
	if s.Snapshot.Index > 0 {
		payload := encodeSnapshot(s.Snapshot)
		if err := r.writeFile(snapshotName(s.Snapshot.Position), payload); err != nil {
			return r.fail("write a snapshot", err)
		}
	}
	payload := encodeCheckpoint(r.id, s)
	if err := r.startSegment(payload); err != nil {
		return r.fail("start a log segment", err)
	}
	r.snapshot = s.Snapshot.Position
	r.removeOlder()
	return nil
}

// startSegment makes a new segment the present one.
func (r *Recorder) startSegment(payload []byte) error {
	name := segmentName(r.number + 1)
	if err := r.writeFile(name, payload); err != nil {
		return err
	}
	f, err := r.open(filepath.Join(r.folder, name), os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return err
	}
	if r.file != nil {
		_ = r.file.Close() // everything in it was synced
	}
	r.file = f
	r.number++
	r.frames = 1
	r.size = int64(frameHeaderBytes + len(payload))
	return nil
}

// writeFile writes a file that holds one frame. It appears under its name only
// once it is whole and durable.
func (r *Recorder) writeFile(name string, payload []byte) error {
	if len(payload) > maxFrameBytes {
		return fmt.Errorf("%s has %d bytes: keep the state within %d", name, len(payload), maxFrameBytes)
	}
	path := filepath.Join(r.folder, name)
	f, err := r.open(path+temporaryEnd, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return err
	}
	b := appendFrame(nil, 0, payload)
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	r.syncs.Inc()
	r.written.Add(len(b))
	if err := os.Rename(path+temporaryEnd, path); err != nil {
		return err
	}
	return syncFolder(r.folder)
}

// syncFolder makes the names in a folder durable.
func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// removeOlder removes the files that the present segment supersedes. A file
// that stays behind does no harm and is removed next time.
func (r *Recorder) removeOlder() {
	l, err := list(r.folder)
	if err != nil {
		return
	}
	for _, n := range l.segments {
		if n < r.number {
			_ = os.Remove(filepath.Join(r.folder, segmentName(n)))
		}
	}
	for _, name := range l.snapshots {
		if name != snapshotName(r.snapshot) {
			_ = os.Remove(filepath.Join(r.folder, name))
		}
	}
}

// Snapshot reads the latest stored snapshot.
func (r *Recorder) Snapshot() (replicator.Snapshot, error) {
	path := filepath.Join(r.folder, snapshotName(r.snapshot))
	b, err := os.ReadFile(path)
	if err != nil {
		return replicator.Snapshot{}, &CorruptError{path, 0, err.Error()}
	}
	number, payload, ok := readFrame(b)
	if !ok || number != 0 || len(payload)+frameHeaderBytes != len(b) {
		return replicator.Snapshot{}, &CorruptError{path, 0, "the snapshot fails its checksum"}
	}
	s, err := decodeSnapshot(payload)
	if err != nil {
		return s, &CorruptError{path, 0, err.Error()}
	}
	if s.Position != r.snapshot {
		return s, &CorruptError{path, 0, "the snapshot is of another position than its name"}
	}
	return s, nil
}
