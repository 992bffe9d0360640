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

// The names of the files in a data folder and their prefixes and suffix.
const (
	lockName        = "lock"
	segmentPrefix   = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
)

// segmentName returns the file name of segment n.
func segmentName(n uint64) string { return fmt.Sprintf("%s%016d", segmentPrefix, n) }

// snapshotName returns the file name of the snapshot at p.
func snapshotName(p replicator.Position) string {
	return fmt.Sprintf("%s%016d-%d", snapshotPrefix, p.Index, p.Term)
}

// segment is the decoded content of one segment file.
type segment struct {
	id     identity
	stored replicator.Stored
	// frameCount is the number of undamaged frames, and size is their size in
	// bytes.
	frameCount uint64
	size       int64
	// tornBytes is the size of a torn write after these frames.
	tornBytes int64
	// closed reports that the segment ends with the mark of a clean shutdown.
	closed bool
}

// readSegment reads and decodes the segment file at path.
func readSegment(path string) (segment, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return segment{}, &DiskError{"read " + path, err}
	}
	return decodeSegment(path, b)
}

// decodeSegment decodes a segment. Damage other than a torn write at its end is
// a CorruptError.
func decodeSegment(path string, b []byte) (segment, error) {
	var s segment
	for int(s.size) < len(b) {
		rest := b[s.size:]
		number, payload, ok := readFrame(rest)
		if !ok || number != s.frameCount {
			return s.classifyTail(path, rest)
		}
		if err := replay(payload, s.frameCount == 0, &s.id, &s.stored); err != nil {
			return s, &CorruptError{path, s.size, err.Error()}
		}
		s.closed = len(payload) == 1 && payload[0] == recordClosed
		s.frameCount++
		s.size += int64(frameHeaderBytes + len(payload))
	}
	if s.frameCount == 0 {
		return s, &CorruptError{path, 0, "the file is empty"}
	}
	return s, nil
}

// classifyTail decides whether rest, which does not start with the expected next
// frame, is a torn write or corruption.
func (s segment) classifyTail(path string, rest []byte) (segment, error) {
	switch {
	case s.frameCount == 0:
		return s, &CorruptError{path, 0, "the first frame is damaged"}
	case hasLaterFrame(rest, s.frameCount):
		return s, &CorruptError{path, s.size, "a frame is damaged and undamaged ones follow"}
	default:
		s.tornBytes, s.closed = int64(len(rest)), false
		return s, nil
	}
}

// folderContents holds the segment numbers, in ascending order, and the snapshot
// file names of a data folder.
type folderContents struct {
	segments  []uint64
	snapshots []string
}

// listFolder returns the contents of a folder and removes temporary files that
// were not completed.
func listFolder(files FileSystem, folder string) (folderContents, error) {
	var l folderContents
	entries, err := os.ReadDir(folder)
	if err != nil {
		return l, &DiskError{"list " + folder, err}
	}
	for _, e := range entries {
		name := e.Name()
		switch {
		case strings.HasSuffix(name, temporarySuffix):
			if err := files.Remove(filepath.Join(folder, name)); err != nil {
				return l, &DiskError{"remove " + name, err}
			}
		case strings.HasPrefix(name, segmentPrefix):
			n, err := strconv.ParseUint(strings.TrimPrefix(name, segmentPrefix), 10, 64)
			if err != nil {
				return l, &CorruptError{name, 0, "the file name does not end in a number"}
			}
			l.segments = append(l.segments, n)
		case strings.HasPrefix(name, snapshotPrefix):
			l.snapshots = append(l.snapshots, name)
		}
	}
	slices.Sort(l.segments)
	return l, nil
}
