package recorder

import (
	"crypto/rand"
	"encoding/binary"
	"os"
	"path/filepath"
	"strconv"
	"syscall"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
)

// Recorder writes the durable state of one replica. It is not safe for
// concurrent use.
type Recorder struct {
	folder        string
	lock          *os.File
	id            identity
	segmentNumber uint64
	file          File
	frameCount    uint64
	segmentBytes  int64
	buffer        []byte
	failure       error
	files         FileSystem

	snapshot replicator.Position
	syncs    *metrics.Counter
	written  *metrics.Counter
}

// Recovered is the state that Open recovered from a data folder.
type Recovered struct {
	// Replica is the identity to which the folder belongs.
	Replica identifier.ReplicaID
	// Fresh reports that the folder was empty and the identity is new.
	Fresh  bool
	Stored replicator.Stored
	// TruncatedBytes is the size, in bytes, of a torn write that Open left out.
	TruncatedBytes int64
}

// Open locks a data folder and recovers the state in it. If the folder is
// missing or empty, Open creates it with a new identity. It fails with a
// CorruptError, LockedError, GroupError or DiskError.
func Open(folder string, group identifier.GroupID) (*Recorder, Recovered, error) {
	return OpenWith(Disk{}, folder, group)
}

// OpenWith is like Open and writes to the given file system.
func OpenWith(files FileSystem, folder string, group identifier.GroupID) (*Recorder, Recovered, error) {
	if err := createFolder(files, folder); err != nil {
		return nil, Recovered{}, &DiskError{"create " + folder, err}
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, Recovered{}, err
	}
	label := `{group="` + strconv.Itoa(int(group)) + `"}`
	r := &Recorder{
		folder: folder, lock: lock, id: identity{group: group}, files: files,
		syncs:   metrics.GetOrCreateCounter("cyclamen_recorder_syncs_total" + label),
		written: metrics.GetOrCreateCounter("cyclamen_recorder_written_bytes_total" + label),
	}
	recovered, err := r.recover()
	if err != nil {
		lock.Close()
		return nil, Recovered{}, err
	}
	return r, recovered, nil
}

// lockFolder locks the folder against use by a second process. The operating
// system releases the lock when the process ends.
func lockFolder(folder string) (*os.File, error) {
	f, err := os.OpenFile(filepath.Join(folder, lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, &DiskError{"open the lock file", err}
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, &LockedError{folder}
	}
	return f, nil
}

// recover reads the folder and prepares it for writing.
func (r *Recorder) recover() (Recovered, error) {
	l, err := listFolder(r.files, r.folder)
	if err != nil {
		return Recovered{}, err
	}
	if len(l.segments) == 0 {
		if len(l.snapshots) > 0 {
			return Recovered{}, &CorruptError{filepath.Join(r.folder, l.snapshots[0]), 0, "the folder holds a snapshot and no log segment"}
		}
		return r.initialize()
	}
	r.segmentNumber = l.segments[len(l.segments)-1]
	path := filepath.Join(r.folder, segmentName(r.segmentNumber))
	s, err := readSegment(path)
	if err != nil {
		return Recovered{}, err
	}
	if s.id.group != r.id.group {
		return Recovered{}, &GroupError{r.folder, uint32(r.id.group), uint32(s.id.group)}
	}
	r.id, r.frameCount, r.segmentBytes, r.snapshot = s.id, s.frameCount, s.size, s.stored.Snapshot.Position
	if r.snapshot.Index > 0 {
		if s.stored.Snapshot, err = r.Snapshot(); err != nil {
			return Recovered{}, err
		}
	}
	if err := r.openSegment(path, s); err != nil {
		return Recovered{}, err
	}
	r.removeSuperseded()
	return Recovered{Replica: s.id.replica, Stored: s.stored, TruncatedBytes: s.tornBytes}, nil
}

// openSegment opens the segment for appending after a clean shutdown. Otherwise it
// writes what the segment holds to a new one: its last frames may be readable without
// being stored, and a later sync does not store what an earlier one failed to.
func (r *Recorder) openSegment(path string, s segment) error {
	if !s.closed {
		if err := r.startSegment(encodeCheckpoint(r.id, s.stored)); err != nil {
			return &DiskError{"rewrite " + path, err}
		}
		return nil
	}
	f, err := r.files.OpenFile(path, os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return &DiskError{"open " + path, err}
	}
	r.file = f
	return nil
}

// initialize writes a new, random identity to an empty folder.
func (r *Recorder) initialize() (Recovered, error) {
	for r.id.replica == 0 {
		var b [8]byte
		// rand.Read never returns an error. It ends the process instead.
		_, _ = rand.Read(b[:])
		r.id.replica = identifier.ReplicaID(binary.LittleEndian.Uint64(b[:]))
	}
	if err := r.checkpoint(replicator.Stored{}); err != nil {
		return Recovered{}, err
	}
	return Recovered{Replica: r.id.replica, Fresh: true}, nil
}

// Save carries out the Save effects among effects, in order, and returns once
// all are on stable storage. It fails with a DiskError, and then each further
// call returns the same error.
func (r *Recorder) Save(effects []replicator.Effect) error {
	r.buffer = r.buffer[:0]
	for _, e := range effects {
		switch e := e.(type) {
		case replicator.SaveState:
			r.buffer = appendState(r.buffer, e.State)
		case replicator.SaveEntries:
			r.buffer = appendEntries(r.buffer, e.Entries)
		case replicator.SaveCheckpoint:
			// The checkpoint contains the state of all earlier effects.
			r.buffer = r.buffer[:0]
			if err := r.checkpoint(e.Stored); err != nil {
				return err
			}
		}
	}
	if len(r.buffer) == 0 {
		return r.failure
	}
	return r.writeFrame(r.buffer)
}

// writeFrame appends one frame to the segment and syncs it.
func (r *Recorder) writeFrame(payload []byte) error {
	if r.failure != nil {
		return r.failure
	}
	b := appendFrame(nil, r.frameCount, payload)
	if _, err := r.file.Write(b); err != nil {
		return r.setFailure("write the log", err)
	}
	if err := r.file.Sync(); err != nil {
		return r.setFailure("sync the log", err)
	}
	r.syncs.Inc()
	r.written.Add(len(b))
	r.frameCount++
	r.segmentBytes += int64(len(b))
	return nil
}

// setFailure records the first error and returns it.
func (r *Recorder) setFailure(operation string, err error) error {
	if r.failure == nil {
		r.failure = &DiskError{operation, err}
	}
	return r.failure
}

// Size returns the size of the current segment in bytes.
func (r *Recorder) Size() int64 { return r.segmentBytes }

// Close marks a clean shutdown in the segment, unless a write failed before, and
// unlocks the folder.
func (r *Recorder) Close() error {
	var err error
	if r.failure == nil {
		err = r.writeFrame([]byte{recordClosed})
	}
	if closeErr := r.file.Close(); err == nil {
		err = closeErr
	}
	r.lock.Close()
	return err
}
