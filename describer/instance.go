package describer

import (
	"context"
	"time"

	"cyclamenhub.org/identifier"
)

// Instance is one listed backend server.
type Instance struct {
	ID            identifier.BackendServer `json:"id"`
	Service       identifier.Service       `json:"service"`
	Address       string                   `json:"address"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	Version       identifier.Version       `json:"version"`
	// Slots is how many requests the server runs concurrently.
	Slots int `json:"slots"`
	// Draining is set if the server is about to leave and accepts no new work.
	Draining bool `json:"draining,omitempty"`
	// Reclaimable is set if the platform may take the server away at short
	// notice.
	Reclaimable bool `json:"reclaimable,omitempty"`
	// ColdFor is how much longer the server is cold, from the time of the listing
	// on.
	ColdFor time.Duration `json:"coldFor,omitempty"`
	// LeavesIn is how long after the listing the server is taken away, whether it has answered
	// its calls or not; 0 means that no time is known.
	LeavesIn time.Duration `json:"leavesIn,omitempty"`
	// StartedAtMillis is when the server started, in milliseconds since 1970; 0
	// means unknown.
	StartedAtMillis int64 `json:"born,omitempty"`
}

// Run returns the run of the server.
func (in *Instance) Run() identifier.ServerRun {
	return identifier.ServerRun{ID: in.ID, Incarnation: uint64(max(in.StartedAtMillis, 0))}
}

// Page is one page of the list of backend servers.
type Page struct {
	Instances []Instance
	// Skipped counts entries that could not be decoded.
	Skipped int
	// BadTimes counts the entries that say in a way that cannot be used when their server is
	// taken away. They count as entries that do not say it.
	BadTimes int
	// Next is the name of the following page, or empty on the last page.
	Next string
}

// Source reads the list of backend servers page by page.
type Source interface {
	// Page returns the page with the given name. The name of the first page is
	// empty.
	Page(ctx context.Context, name string) (Page, error)
}
