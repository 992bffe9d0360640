// Package standin provides a disk for tests that runs out of room and loses power.
//
// # Usage
//
//	d := standin.NewDisk()
//	rec, _, err := recorder.OpenWith(d, folder, 0)
//	d.Fill(standin.Everything, 10) // from the tenth operation on, each fails
//	d.Free()
package standin

import (
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"cyclamenhub.org/recorder"
)

// Failure says what a full disk refuses.
type Failure int

const (
	// Everything refuses each operation. A write stores half of its bytes first.
	Everything Failure = iota + 1
	// Syncs refuses syncs alone, as a disk does that allocates room late.
	Syncs
)

// Disk is a recorder.FileSystem on real files that can be full, and that knows what
// was synced. What a failed sync was to store is not stored by a later one.
type Disk struct {
	recorder.Disk

	mu      sync.Mutex // guards the fields below
	failure Failure
	// left is the number of operations that still succeed.
	left    int
	refused map[string]int
	files   map[string]*content
}

// content is what is durable of a file.
type content struct {
	size, durable int64
	// lost reports that a sync failed after the durable part.
	lost bool
}

var _ recorder.FileSystem = (*Disk)(nil)

// NewDisk returns a disk with room.
func NewDisk() *Disk {
	return &Disk{refused: make(map[string]int), files: make(map[string]*content)}
}

// Fill makes the disk full once it has done the given number of operations that the
// failure concerns.
func (d *Disk) Fill(f Failure, after int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failure, d.left = f, after
}

// Free gives the disk room again.
func (d *Disk) Free() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failure = 0
}

// Refused returns the number of operations in a folder that failed.
func (d *Disk) Refused(folder string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused[folder]
}

// LosePower cuts off what is not durable from each file.
func (d *Disk) LosePower() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for path, c := range d.files {
		if err := os.Truncate(path, c.durable); err != nil && !os.IsNotExist(err) {
			return err
		}
		c.size, c.lost = c.durable, false
	}
	return nil
}

// fails reports whether an operation in a folder fails. The caller holds mu.
func (d *Disk) fails(folder string, sync bool) bool {
	if d.failure == 0 || d.failure == Syncs && !sync {
		return false
	}
	if d.left > 0 {
		d.left--
		return false
	}
	d.refused[folder]++
	return true
}

// check returns ENOSPC if an operation fails.
func (d *Disk) check(folder string, sync bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fails(folder, sync) {
		return syscall.ENOSPC
	}
	return nil
}

// OpenFile opens a file. It implements recorder.FileSystem.
func (d *Disk) OpenFile(path string, flags int) (recorder.File, error) {
	if err := d.check(filepath.Dir(path), false); err != nil {
		return nil, err
	}
	f, err := d.Disk.OpenFile(path, flags)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.files[path]
	if c == nil || flags&os.O_TRUNC != 0 {
		c = &content{}
		if i, err := os.Stat(path); err == nil {
			c.size, c.durable = i.Size(), i.Size()
		}
		d.files[path] = c
	}
	return &file{File: f, disk: d, folder: filepath.Dir(path), content: c}, nil
}

// Rename renames a file. It implements recorder.FileSystem.
func (d *Disk) Rename(from, to string) error {
	if err := d.check(filepath.Dir(to), false); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.files[to] = d.files[from]
	delete(d.files, from)
	return d.Disk.Rename(from, to)
}

// Remove removes a file. It implements recorder.FileSystem.
func (d *Disk) Remove(path string) error {
	if err := d.check(filepath.Dir(path), false); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.files, path)
	return d.Disk.Remove(path)
}

// SyncFolder makes directory entries durable. It implements recorder.FileSystem.
func (d *Disk) SyncFolder(folder string) error {
	if err := d.check(folder, true); err != nil {
		return err
	}
	return d.Disk.SyncFolder(folder)
}

// file is a file of a Disk.
type file struct {
	recorder.File
	disk    *Disk
	folder  string
	content *content
}

// Write appends to the file, or half of b on a full disk.
func (f *file) Write(b []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	full := f.disk.fails(f.folder, false)
	if full {
		b = b[:len(b)/2]
	}
	n, err := f.File.Write(b)
	f.content.size += int64(n)
	if full && err == nil {
		err = syscall.ENOSPC
	}
	return n, err
}

// Sync makes the file durable, unless an earlier sync failed.
func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.fails(f.folder, true) {
		f.content.lost = f.content.size > f.content.durable
		return syscall.ENOSPC
	}
	if !f.content.lost {
		f.content.durable = f.content.size
	}
	return f.File.Sync()
}
