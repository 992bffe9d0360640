package keeper

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync"

	"cyclamenhub.org/identifier"
)

// StateMachine is what the log's entries are applied to. Its methods are called
// by one goroutine at a time.
type StateMachine interface {
	// Apply applies one entry and returns its result.
	Apply(index identifier.LogIndex, entry []byte) (result []byte)
}

// Options configure a Keeper.
type Options struct {
	// DataFolder holds the log file.
	DataFolder   string
	StateMachine StateMachine
}

// Keeper keeps the log.
type Keeper struct {
	opts Options

	mu    sync.Mutex
	file  *os.File
	index identifier.LogIndex
}

// logFile is the name of the log in the data folder.
const logFile = "control.log"

// headerBytes is the size of an entry's length and checksum.
const headerBytes = 8

// maxEntryBytes bounds one entry.
const maxEntryBytes = 16 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Open opens the log in the data folder and applies its entries.
func Open(opts Options) (*Keeper, error) {
	if err := os.MkdirAll(opts.DataFolder, 0o700); err != nil {
		return nil, fmt.Errorf("data folder: %w: name a folder that can be written", err)
	}
	f, err := os.OpenFile(filepath.Join(opts.DataFolder, logFile), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, fmt.Errorf("control log: %w: make the data folder writable", err)
	}
	k := &Keeper{opts: opts, file: f}
	if err := k.replay(); err != nil {
		_ = f.Close()
		return nil, err
	}
	return k, nil
}

// replay applies the entries in the file and cuts off a torn one.
func (k *Keeper) replay() error {
	r := bufio.NewReader(k.file)
	var end int64
	for {
		entry, err := readEntry(r)
		if err != nil {
			if errors.Is(err, errDamaged) {
				return fmt.Errorf("control log at byte %d: %w: restore the data folder from another keeper", end, err)
			}
			break
		}
		k.index++
		k.opts.StateMachine.Apply(k.index, entry)
		end += headerBytes + int64(len(entry))
	}
	if err := k.file.Truncate(end); err != nil {
		return err
	}
	_, err := k.file.Seek(end, io.SeekStart)
	return err
}

// errDamaged tells that a whole entry has a wrong checksum.
var errDamaged = errors.New("an entry is damaged")

// readEntry reads one entry.
func readEntry(r io.Reader) ([]byte, error) {
	var h [headerBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(h[:4])
	if n > maxEntryBytes {
		return nil, errDamaged
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, err
	}
	if crc32.Checksum(b, castagnoli) != binary.BigEndian.Uint32(h[4:]) {
		return nil, errDamaged
	}
	return b, nil
}

// Propose writes, syncs and applies an entry and returns its result.
func (k *Keeper) Propose(_ context.Context, entry []byte) ([]byte, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	b := make([]byte, headerBytes, headerBytes+len(entry))
	binary.BigEndian.PutUint32(b[:4], uint32(len(entry)))
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(entry, castagnoli))
	if _, err := k.file.Write(append(b, entry...)); err != nil {
		return nil, fmt.Errorf("control log: %w: free space on the disk of the data folder", err)
	}
	if err := k.file.Sync(); err != nil {
		return nil, fmt.Errorf("control log: %w: replace the disk of the data folder", err)
	}
	k.index++
	return k.opts.StateMachine.Apply(k.index, entry), nil
}

// Read returns once all that was acknowledged before is applied.
func (k *Keeper) Read(context.Context) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return nil
}

// Close closes the log.
func (k *Keeper) Close() error { return k.file.Close() }
