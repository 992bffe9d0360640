package recorder

import (
	"fmt"
	"os"
	"path/filepath"

	"cyclamenhub.org/replicator"
)

// checkpoint replaces everything in storage by s.
func (r *Recorder) checkpoint(s replicator.Stored) error {
	if r.failure != nil {
		return r.failure
	}
	if s.Snapshot.Index > 0 {
		payload := encodeSnapshot(s.Snapshot)
		if err := r.writeFile(snapshotName(s.Snapshot.Position), payload); err != nil {
			return r.setFailure("write a snapshot", err)
		}
	}
	payload := encodeCheckpoint(r.id, s)
	if err := r.startSegment(payload); err != nil {
		return r.setFailure("start a log segment", err)
	}
	r.snapshot = s.Snapshot.Position
	r.removeSuperseded()
	return nil
}

// startSegment creates a new segment that starts with payload, and makes it the
// current one.
func (r *Recorder) startSegment(payload []byte) error {
	name := segmentName(r.segmentNumber + 1)
	if err := r.writeFile(name, payload); err != nil {
		return err
	}
	f, err := r.files.OpenFile(filepath.Join(r.folder, name), os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return err
	}
	if r.file != nil {
		_ = r.file.Close() // the file is synced, so an error loses no data
	}
	r.file = f
	r.segmentNumber++
	r.frameCount = 1
	r.segmentBytes = int64(frameHeaderBytes + len(payload))
	return nil
}

// writeFile writes a file that holds one frame.
func (r *Recorder) writeFile(name string, payload []byte) error {
	if len(payload) > maxFrameBytes {
		return fmt.Errorf("%s has %d bytes: keep the state within the limit of %d bytes", name, len(payload), maxFrameBytes)
	}
	b := appendFrame(nil, 0, payload)
	if err := saveFile(r.files, r.folder, name, b); err != nil {
		return err
	}
	r.syncs.Inc()
	r.written.Add(len(b))
	return nil
}

// SaveFile writes a file in a data folder, which it creates if it is missing. The
// file gets its name only once it is complete and durable. It fails with a
// DiskError.
func SaveFile(files FileSystem, folder, name string, b []byte) error {
	err := createFolder(files, folder)
	if err == nil {
		err = saveFile(files, folder, name, b)
	}
	if err != nil {
		return &DiskError{"write " + filepath.Join(folder, name), err}
	}
	return nil
}

// saveFile writes a file in an existing folder.
func saveFile(files FileSystem, folder, name string, b []byte) error {
	path := filepath.Join(folder, name)
	f, err := files.OpenFile(path+temporarySuffix, os.O_CREATE|os.O_TRUNC|os.O_WRONLY)
	if err != nil {
		return err
	}
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
	if err := files.Rename(path+temporarySuffix, path); err != nil {
		return err
	}
	return files.SyncFolder(folder)
}

// createFolder creates a folder and makes its name durable, unless it exists.
func createFolder(files FileSystem, folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return nil
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	return files.SyncFolder(filepath.Dir(folder))
}

// removeSuperseded removes the files that the current segment supersedes. It
// ignores errors, because a file that remains does no harm and is removed next
// time.
func (r *Recorder) removeSuperseded() {
	l, err := listFolder(r.files, r.folder)
	if err != nil {
		return
	}
	for _, n := range l.segments {
		if n < r.segmentNumber {
			_ = r.files.Remove(filepath.Join(r.folder, segmentName(n)))
		}
	}
	for _, name := range l.snapshots {
		if name != snapshotName(r.snapshot) {
			_ = r.files.Remove(filepath.Join(r.folder, name))
		}
	}
}

// Snapshot reads the latest stored snapshot. It fails with a CorruptError.
func (r *Recorder) Snapshot() (replicator.Snapshot, error) {
	path := filepath.Join(r.folder, snapshotName(r.snapshot))
	b, err := os.ReadFile(path)
	if err != nil {
		return replicator.Snapshot{}, &CorruptError{path, 0, err.Error()}
	}
	number, payload, ok := readFrame(b)
	if !ok || number != 0 || len(payload)+frameHeaderBytes != len(b) {
		return replicator.Snapshot{}, &CorruptError{path, 0, "the snapshot has a wrong checksum, number or length"}
	}
	s, err := decodeSnapshot(payload)
	if err != nil {
		return s, &CorruptError{path, 0, err.Error()}
	}
	if s.Position != r.snapshot {
		return s, &CorruptError{path, 0, "the snapshot's position differs from its file name"}
	}
	return s, nil
}
