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

// status is "status".
type status struct{ c *commandContext }

// Execute runs the command.
func (cmd *status) Execute([]string) error {
	var o administrator.Overview
	if err := cmd.c.client().call(http.MethodGet, "/status", nil, &o); err != nil {
		return err
	}
	return cmd.c.print(o, func(w *tabwriter.Writer) {
		rowsOfSummary(w, o)
		for _, table := range tablesOf(o) {
			// A line without cells ends the columns of the table before it.
			row(w)
			table(w)
		}
	})
}

// rowsOfSummary writes one row for each matter of the whole fleet.
func rowsOfSummary(w *tabwriter.Writer, o administrator.Overview) {
	row(w, "revision", o.Configuration.Revision)
	row(w, "in force everywhere", yesNo(o.Configuration.InForce))
	row(w, "exceptions", o.ActiveExceptions, "active", o.LapsedExceptions, "lapsed")
	row(w, "hosts", len(o.Configuration.Hosts))
}

// tablesOf returns the tables below the summary.
func tablesOf(o administrator.Overview) []func(*tabwriter.Writer) {
	tables := []func(*tabwriter.Writer){
		func(w *tabwriter.Writer) { rowsOfHosts(w, o.Configuration) },
	}
	if len(o.Rollouts) > 0 {
		tables = append(tables, func(w *tabwriter.Writer) { rowsOfRollouts(w, o.Rollouts) })
	}
	if o.Keepers != nil {
		tables = append(tables, func(w *tabwriter.Writer) { rowsOfMembers(w, *o.Keepers) })
	}
	return append(tables, func(w *tabwriter.Writer) {
		row(w, "SERVICE", "VERSION", "FAILURE DOMAIN", "BACKEND SERVERS", "CONCURRENCY")
		for _, b := range o.BackendServers {
			row(w, b.Service, b.Version, b.FailureDomain, b.Count, b.Concurrency)
		}
	})
}
