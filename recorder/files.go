package recorder

import "os"

// FileSystem holds the operations that write data folders. Tests replace it to make
// them fail.
type FileSystem interface {
	// OpenFile opens the file at path for writing with the given flags.
	OpenFile(path string, flags int) (File, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes the directory entries of a folder durable.
	SyncFolder(folder string) error
}

// File holds the methods of os.File that the recorder uses for writing.
type File interface {
	Write(b []byte) (int, error)
	Sync() error
	Close() error
}

// Disk is the FileSystem of the operating system.
type Disk struct{}

var _ FileSystem = Disk{}

// OpenFile opens a file. It implements FileSystem.
func (Disk) OpenFile(path string, flags int) (File, error) { return os.OpenFile(path, flags, 0o600) }

// Rename renames a file. It implements FileSystem.
func (Disk) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file. It implements FileSystem.
func (Disk) Remove(path string) error { return os.Remove(path) }

// SyncFolder makes the directory entries of a folder durable. It implements
// FileSystem.
func (Disk) SyncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }() // only read
	return d.Sync()
}
