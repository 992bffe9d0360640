package soaker

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Report is the result of a run.
type Report struct {
	Seed   uint64
	Faults []Fault
	// Outcomes counts the requests by the outcome that their callers saw.
	Outcomes map[string]int
	// Cuts and Silences tell how many calls their promises were checked on.
	Cuts, Silences string
	// Brittle tells what happened at brittle servers.
	Brittle string
	// Stored is the number of acknowledged documents.
	Stored int
	// Violations lists the broken promises, at most maxViolations.
	Violations []string
	// Folder contains the logs.
	Folder string
}

// report returns the report of a run.
func (s *soak) report(injected []Fault) *Report {
	l := &s.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	return &Report{
		Seed: s.opts.Seed, Faults: injected, Outcomes: maps.Clone(l.outcomes), Stored: l.stored,
		Violations: slices.Clone(l.violations), Folder: s.opts.Folder,
		Cuts: strings.Join(l.cuts, "; "), Silences: l.silences, Brittle: strings.Join(l.brittle, "; "),
	}
}

// String formats the report: one line, and for a run with broken promises also
// the violations, the faults and the folder with the logs.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d faults, %d documents acknowledged, calls:", r.Seed, len(r.Faults), r.Stored)
	for _, o := range slices.Sorted(maps.Keys(r.Outcomes)) {
		fmt.Fprintf(&b, " %d %s,", r.Outcomes[o], o)
	}
	fmt.Fprintf(&b, " cuts [%s], silences [%s], brittle [%s],", r.Cuts, r.Silences, r.Brittle)
	if len(r.Violations) == 0 {
		b.WriteString(" every promise kept\n")
		return b.String()
	}
	fmt.Fprintf(&b, " %d PROMISES BROKEN\n", len(r.Violations))
	for _, s := range r.Violations {
		fmt.Fprintf(&b, "  broken: %s\n", s)
	}
	for _, f := range r.Faults {
		fmt.Fprintf(&b, "  fault:  %v\n", f)
	}
	fmt.Fprintf(&b, "  logs:   %s\n", r.Folder)
	return b.String()
}
