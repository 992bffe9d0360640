package recorder

import (
	"errors"
	"fmt"
	"syscall"
)

// CorruptError reports that a file of the data folder is damaged in a part that
// was synced before.
type CorruptError struct {
	File string
	// Offset is the byte offset at which the damage starts.
	Offset  int64
	Problem string
}

// Error names the file, the offset, the problem and the remedy.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d (%s): keep a copy of the folder for inspection, empty it and restart, so that this replica joins with a new identity", e.File, e.Offset, e.Problem)
}

// LockedError reports that another process uses the data folder.
type LockedError struct{ Folder string }

// Error names the folder and the remedy.
func (e *LockedError) Error() string {
	return fmt.Sprintf("data folder %s is in use by another process: stop that process or use another folder", e.Folder)
}

// GroupError reports that the data folder belongs to another group.
type GroupError struct {
	Folder    string
	Want, Got uint32
}

// Error names both groups and the remedy.
func (e *GroupError) Error() string {
	return fmt.Sprintf("data folder %s holds group %d, not %d: correct the folder in the settings", e.Folder, e.Got, e.Want)
}

// DiskError reports a failed file operation. If a write or sync failed, the
// recorder writes nothing more.
type DiskError struct {
	Operation string
	Err       error
}

// Error names the operation, the cause and a remedy that fits the cause.
func (e *DiskError) Error() string {
	return fmt.Sprintf("data folder: %s: %v: %s", e.Operation, e.Err, e.remedy())
}

// Unwrap returns the cause.
func (e *DiskError) Unwrap() error { return e.Err }

// remedy returns the remedy for the cause.
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
