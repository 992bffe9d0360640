package recorder

import (
	"errors"
	"fmt"
	"syscall"
)

// CorruptError refuses a folder whose files are damaged in a place that was
// once synced.
type CorruptError struct {
	File string
	// Offset is where the damage starts, in bytes.
	Offset  int64
	Problem string
}

// Error names the place and the remedy.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d (%s): keep a copy of the folder for inspection, empty it and start again, so that this replica joins under a fresh identity", e.File, e.Offset, e.Problem)
}

// LockedError refuses a folder that another process has open.
type LockedError struct{ Folder string }

// Error names the folder and the remedy.
func (e *LockedError) Error() string {
	return fmt.Sprintf("data folder %s is in use by another process: stop that one or give this one its own folder", e.Folder)
}

// GroupError refuses a folder that belongs to another group.
type GroupError struct {
	Folder    string
	Want, Got uint32
}

// Error names both groups and the remedy.
func (e *GroupError) Error() string {
	return fmt.Sprintf("data folder %s holds group %d, not %d: correct the folder in the settings", e.Folder, e.Got, e.Want)
}

// DiskError tells that the disk failed. Nothing more is written after it.
type DiskError struct {
	Operation string
	Err       error
}

// Error names the operation and a remedy that fits the cause.
func (e *DiskError) Error() string {
	return fmt.Sprintf("data folder: %s: %v: %s", e.Operation, e.Err, e.remedy())
}

// Unwrap returns the cause.
func (e *DiskError) Unwrap() error { return e.Err }

// remedy returns what to do about the cause.
func (e *DiskError) remedy() string {
	switch {
	case errors.Is(e.Err, syscall.ENOSPC), errors.Is(e.Err, syscall.EDQUOT):
		return "free space on the disk and start the process again"
	case errors.Is(e.Err, syscall.EROFS), errors.Is(e.Err, syscall.EACCES), errors.Is(e.Err, syscall.EPERM):
		return "make the folder writable and start the process again"
	default:
		return "check or replace the disk and start the process again"
	}
}
