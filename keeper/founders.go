package keeper

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/recorder"
)

// foundersName is the file in the folder of a group that holds its founders.
const foundersName = "founders"

// founders are the hosts that found a group, as its first start named them.
type founders struct {
	Hosts []identifier.Host `json:"hosts"`
}

// recallFounders stores the founders at the first start of an open group, and
// restores them at later starts. A process that ends before the founders have met
// thus goes on founding the group, with the same hosts: seeds that have been
// exchanged since found none. A replica that has lost its disk has no founders.
func (o *Options) recallFounders(folder string) error {
	if o.Voters == 0 {
		return nil
	}
	path := filepath.Join(folder, foundersName)
	b, err := os.ReadFile(path)
	switch {
	case err == nil:
		var f founders
		if err := json.Unmarshal(b, &f); err != nil || len(f.Hosts) == 0 {
			return &recorder.CorruptError{File: path, Problem: "it names no founders"}
		}
		o.Hosts, o.JoinOnly = f.Hosts, false
		return nil
	case !errors.Is(err, fs.ErrNotExist) && !errors.Is(err, syscall.ENOTDIR):
		return &recorder.DiskError{Operation: "read " + path, Err: err}
	case o.JoinOnly:
		return nil
	}
	// Names of hosts can always be encoded as JSON.
	b, _ = json.Marshal(founders{Hosts: o.Hosts})
	return recorder.SaveFile(o.Files, folder, foundersName, b)
}
