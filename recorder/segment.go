package recorder

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"cyclamenhub.org/replicator"
)

// The names of the files in a data folder.
const (
	lockName       = "lock"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	temporaryEnd   = ".tmp"
)

// segmentName returns the file name of segment n.
func segmentName(n uint64) string { return fmt.Sprintf("%s%016d", segmentPrefix, n) }

// snapshotName returns the file name of the snapshot at p.
func snapshotName(p replicator.Position) string {
	return fmt.Sprintf("%s%016d-%d", snapshotPrefix, p.Index, p.Term)
}

// segment is what recovery read from one segment file.
type segment struct {
	id     identity
	stored replicator.Stored
	// frames is the number of undamaged frames and size their bytes.
	frames uint64
	size   int64
	// cut is the number of bytes of a torn write behind them.
	cut int64
}

// readSegment reads the segment file at path.
func readSegment(path string) (segment, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return segment{}, &DiskError{"read " + path, err}
	}
	return decodeSegment(path, b)
}

// decodeSegment decodes a segment and finds out whether damage is a torn write
// at its end.
func decodeSegment(path string, b []byte) (segment, error) {
	var s segment
	for int(s.size) < len(b) {
		rest := b[s.size:]
		number, payload, ok := readFrame(rest)
		if !ok || number != s.frames {
			return s.endAt(path, rest)
		}
		if err := replay(payload, s.frames == 0, &s.id, &s.stored); err != nil {
			return s, &CorruptError{path, s.size, err.Error()}
		}
		s.frames++
		s.size += int64(frameHeaderBytes + len(payload))
	}
	if s.frames == 0 {
		return s, &CorruptError{path, 0, "the file is empty"}
	}
	return s, nil
}

// endAt judges rest, which does not start with the frame that should follow.
func (s segment) endAt(path string, rest []byte) (segment, error) {
	switch {
	case s.frames == 0:
		return s, &CorruptError{path, 0, "the first frame fails its checksum"}
	case hasLaterFrame(rest, s.frames):
		return s, &CorruptError{path, s.size, "a frame fails its checksum and undamaged ones follow"}
	default:
		s.cut = int64(len(rest))
		return s, nil
	}
}

// listing is what a data folder holds.
type listing struct {
	segments  []uint64
	snapshots []string
}

// list reads the names in a folder and removes unfinished temporary files.
func list(folder string) (listing, error) {
	var l listing
	entries, err := os.ReadDir(folder)
	if err != nil {
		return l, &DiskError{"list " + folder, err}
	}
	for _, e := range entries {
		name := e.Name()
		switch {
		case strings.HasSuffix(name, temporaryEnd):
			if err := os.Remove(filepath.Join(folder, name)); err != nil {
				return l, &DiskError{"remove " + name, err}
			}
		case strings.HasPrefix(name, segmentPrefix):
			n, err := strconv.ParseUint(strings.TrimPrefix(name, segmentPrefix), 10, 64)
			if err != nil {
				return l, &CorruptError{name, 0, "the file name holds no number"}
			}
			l.segments = append(l.segments, n)
		case strings.HasPrefix(name, snapshotPrefix):
			l.snapshots = append(l.snapshots, name)
		}
	}
	slices.Sort(l.segments)
	return l, nil
}
