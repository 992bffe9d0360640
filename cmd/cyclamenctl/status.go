package main

import (
	"net/http"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/administrator"
)

// addStatusCommand adds "status".
func addStatusCommand(p *flags.Parser, c *commandContext) {
	mustAdd(p.AddCommand("status", "Show the fleet at one glance",
		"Shows hosts, rollouts, keepers, the configuration and the backend servers at one glance.", &status{c: c}))
}

// status implements "status".
type status struct{ c *commandContext }

// Execute runs the command.
func (cmd *status) Execute([]string) error {
	var o administrator.Overview
	if err := cmd.c.client().call(http.MethodGet, "/status", nil, &o); err != nil {
		return err
	}
	return cmd.c.print(o, func(w *tabwriter.Writer) {
		writeSummary(w, o)
		for _, table := range tablesOf(o) {
			// An empty row separates the column widths of two tables.
			writeRow(w)
			table(w)
		}
	})
}

// writeSummary writes the rows that summarize the fleet.
func writeSummary(w *tabwriter.Writer, o administrator.Overview) {
	writeRow(w, "revision", o.Configuration.Revision)
	writeRow(w, "in force everywhere", yesNo(o.Configuration.InForce))
	writeRow(w, "exceptions", o.ActiveExceptions, "active", o.LapsedExceptions, "lapsed")
	writeRow(w, "hosts", len(o.Configuration.Hosts))
}

// tablesOf returns the functions that write the tables below the summary.
func tablesOf(o administrator.Overview) []func(*tabwriter.Writer) {
	tables := []func(*tabwriter.Writer){
		func(w *tabwriter.Writer) { writeHosts(w, o.Configuration) },
	}
	if len(o.Rollouts) > 0 {
		tables = append(tables, func(w *tabwriter.Writer) { writeRollouts(w, o.Rollouts) })
	}
	if len(o.Evacuations) > 0 {
		tables = append(tables, func(w *tabwriter.Writer) { writeEvacuations(w, o.Evacuations) })
	}
	if o.Keepers != nil {
		tables = append(tables, func(w *tabwriter.Writer) { writeMembers(w, *o.Keepers) })
	}
	return append(tables, func(w *tabwriter.Writer) {
		writeRow(w, "SERVICE", "VERSION", "FAILURE DOMAIN", "BACKEND SERVERS", "CONCURRENCY")
		for _, b := range o.BackendServers {
			writeRow(w, b.Service, b.Version, b.FailureDomain, b.Count, b.Concurrency)
		}
	})
}
