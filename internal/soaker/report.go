package soaker

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Report is what became of a run.
type Report struct {
	Seed   uint64
	Faults []Fault
	// Outcomes counts the calls by what their callers saw.
	Outcomes map[string]int
	// Stored is how many documents were acknowledged.
	Stored int
	// Broken lists the promises that were not kept.
	Broken []string
	// Folder holds the logs.
	Folder string
}

// report returns the report of a run.
func (s *soak) report(played []Fault) *Report {
	l := &s.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Report{
		Seed: s.opts.Seed, Faults: played, Outcomes: maps.Clone(l.outcomes), Stored: l.stored,
		Broken: slices.Clone(l.broken), Folder: s.opts.Folder,
	}
}

// String returns the report for a reader: one line, and for a run with broken
// promises these, the faults and where the logs are.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d faults, %d documents acknowledged, calls:", r.Seed, len(r.Faults), r.Stored)
	for _, o := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(&b, " %d %s,", r.Outcomes[o], o)
	}
	if len(r.Broken) == 0 {
		b.WriteString(" every promise kept\n")
		return b.String()
	}
	fmt.Fprintf(&b, " %d PROMISES BROKEN\n", len(r.Broken))
	for _, s := range r.Broken {
		fmt.Fprintf(&b, "  broken: %s\n", s)
	}
	for _, f := range r.Faults {
		fmt.Fprintf(&b, "  fault:  %v\n", f)
	}
	fmt.Fprintf(&b, "  logs:   %s\n", r.Folder)
	return b.String()
}
