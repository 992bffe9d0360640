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
	// Slots is how many requests it runs side by side.
	Slots int `json:"slots"`
	// Draining tells that it is leaving and takes no new work.
	Draining bool `json:"draining,omitempty"`
	// Reclaimable tells that the platform may take it away at short notice.
	Reclaimable bool `json:"reclaimable,omitempty"`
	// ColdFor is how much longer it is slow after its start.
	ColdFor time.Duration `json:"-"`
	// Born is when it started, in milliseconds since 1970, or 0 where unknown.
	Born int64 `json:"born,omitempty"`
}

// Page is a part of the list.
type Page struct {
	Instances []Instance
	// Skipped counts entries that could not be read.
	Skipped int
	// Next names the following page, or is empty.
	Next string
}

// Source reads pages of the list.
type Source interface {
	// Page returns the page of that name; the first one has none.
	Page(ctx context.Context, name string) (Page, error)
}
