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
	folder string
	lock   *os.File
	id     identity
	number uint64
	file   file
	frames uint64
	size   int64
	buffer []byte
	failed error
	open   openFile

	snapshot replicator.Position
	syncs    *metrics.Counter
	written  *metrics.Counter
}

// openFile opens a file with the given flags.
type openFile func(path string, flags int) (file, error)

// file is what the recorder needs of an open file.
type file interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// Found is what Open found in a folder.
type Found struct {
	// Replica is the identity that the folder belongs to.
	Replica identifier.ReplicaID
	// Fresh tells that the folder was empty and the identity is new.
	Fresh  bool
	Stored replicator.Stored
	// CutBytes is the size of a torn write that was cut off the end.
	CutBytes int64
}

// Open locks a data folder and reads it, or creates it under a fresh identity.
// It fails with a CorruptError, LockedError, GroupError or DiskError.
func Open(folder string, group identifier.GroupID) (*Recorder, Found, error) {
	return openWith(folder, group, func(path string, flags int) (file, error) {
		return os.OpenFile(path, flags, 0o600)
	})
}

// openWith is Open with another way to open files for writing.
func openWith(folder string, group identifier.GroupID, open openFile) (*Recorder, Found, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, Found{}, &DiskError{"create " + folder, err}
	}
	lock, err := lockFolder(folder)
	if err != nil {
		return nil, Found{}, err
	}
	label := `{group="` + strconv.Itoa(int(group)) + `"}`
	r := &Recorder{
		folder: folder, lock: lock, id: identity{group: group}, open: open,
		syncs:   metrics.GetOrCreateCounter("cyclamen_recorder_syncs_total" + label),
		written: metrics.GetOrCreateCounter("cyclamen_recorder_written_bytes_total" + label),
	}
	found, err := r.recover()
	if err != nil {
		lock.Close()
		return nil, Found{}, err
	}
	return r, found, nil
}

// lockFolder takes the lock that keeps a second process out. It ends with the
// process.
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

// recover reads the folder and makes it ready for writing.
func (r *Recorder) recover() (Found, error) {
	l, err := list(r.folder)
	if err != nil {
		return Found{}, err
	}
	if len(l.segments) == 0 {
		if len(l.snapshots) > 0 {
			return Found{}, &CorruptError{filepath.Join(r.folder, l.snapshots[0]), 0, "a snapshot without any log segment"}
		}
		return r.begin()
	}
	r.number = l.segments[len(l.segments)-1]
	path := filepath.Join(r.folder, segmentName(r.number))
	s, err := readSegment(path)
	if err != nil {
		return Found{}, err
	}
	if s.id.group != r.id.group {
		return Found{}, &GroupError{r.folder, uint32(r.id.group), uint32(s.id.group)}
	}
	r.id, r.frames, r.size, r.snapshot = s.id, s.frames, s.size, s.stored.Snapshot.Position
	if r.snapshot.Index > 0 {
		if s.stored.Snapshot, err = r.Snapshot(); err != nil {
			return Found{}, err
		}
	}
	if err := r.reopen(path, s); err != nil {
		return Found{}, err
	}
	r.removeOlder()
	return Found{Replica: s.id.replica, Stored: s.stored, CutBytes: s.cut}, nil
}

// reopen opens the segment for appending and cuts off a torn write.
func (r *Recorder) reopen(path string, s segment) error {
	f, err := r.open(path, os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return &DiskError{"open " + path, err}
	}
	r.file = f
	if s.cut == 0 {
		return nil
	}
	if err = os.Truncate(path, s.size); err == nil {
		err = f.Sync()
	}
	if err != nil {
		_ = f.Close() // the first error tells more
		return &DiskError{"cut the torn end of " + path, err}
	}
	return nil
}

// begin gives an empty folder a fresh identity.
func (r *Recorder) begin() (Found, error) {
	for r.id.replica == 0 {
		var b [8]byte
		// Read never returns an error; it ends the process instead.
		_, _ = rand.Read(b[:])
		r.id.replica = identifier.ReplicaID(binary.LittleEndian.Uint64(b[:]))
	}
	if err := r.checkpoint(replicator.Stored{}); err != nil {
		return Found{}, err
	}
	return Found{Replica: r.id.replica, Fresh: true}, nil
}

// Save carries out the Save effects among the given ones, in order, and
// returns once all are on stable storage. After an error, which is a
// DiskError, every further call returns the same one.
func (r *Recorder) Save(effects []replicator.Effect) error {
	r.buffer = r.buffer[:0]
	for _, e := range effects {
		switch e := e.(type) {
		case replicator.SaveState:
			r.buffer = appendState(r.buffer, e.State)
		case replicator.SaveEntries:
			r.buffer = appendEntries(r.buffer, e.Entries)
		case replicator.SaveCheckpoint:
			// The checkpoint repeats all that was saved before it.
			r.buffer = r.buffer[:0]
			if err := r.checkpoint(e.Stored); err != nil {
				return err
			}
		}
	}
	if len(r.buffer) == 0 {
		return r.failed
	}
	return r.writeFrame(r.buffer)
}

// writeFrame appends and syncs one frame.
func (r *Recorder) writeFrame(payload []byte) error {
	if r.failed != nil {
		return r.failed
	}
	b := appendFrame(nil, r.frames, payload)
	if _, err := r.file.Write(b); err != nil {
		return r.fail("write the log", err)
	}
	if err := r.file.Sync(); err != nil {
		return r.fail("sync the log", err)
	}
	r.syncs.Inc()
	r.written.Add(len(b))
	r.frames++
	r.size += int64(len(b))
	return nil
}

// fail remembers the first error.
func (r *Recorder) fail(operation string, err error) error {
	if r.failed == nil {
		r.failed = &DiskError{operation, err}
	}
	return r.failed
}

// Size returns the bytes of the present segment.
func (r *Recorder) Size() int64 { return r.size }

// Close ends the segment in an orderly way and lets go of the folder.
func (r *Recorder) Close() error {
	var err error
	if r.failed == nil {
		err = r.writeFrame([]byte{recordClosed})
	}
	if closeErr := r.file.Close(); err == nil {
		err = closeErr
	}
	r.lock.Close()
	return err
}
