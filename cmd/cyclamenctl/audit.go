package main

import (
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/reducer"
)

// addAuditCommands adds "audit" and its subcommands.
func addAuditCommands(p *flags.Parser, c *commandContext) {
	group := mustAdd(p.AddCommand("audit", "Read the audit trail", "Reads the audit trail.", &struct{}{}))
	mustAdd(group.AddCommand("list", "List every change, refused ones too",
		"Lists every change, refused ones too, newest first.", &auditList{c: c}))
}

// recordOptions selects the audit records to list.
type recordOptions struct {
	Limit   int    `long:"limit" default:"50" description:"how many records to list"`
	Before  uint64 `long:"before" description:"list only records with a lower number"`
	Changes bool   `long:"changes" description:"show the changed fields with their values before and after"`
}

// auditList implements "audit list".
type auditList struct {
	recordOptions
	c *commandContext
}

// Execute runs the command.
func (cmd *auditList) Execute([]string) error { return cmd.c.printRecords("/audit", cmd.recordOptions) }

// printRecords fetches audit records from path and prints them.
func (c *commandContext) printRecords(path string, o recordOptions) error {
	path = fmt.Sprintf("%s?limit=%d", path, o.Limit)
	if o.Before > 0 {
		path = fmt.Sprintf("%s&before=%d", path, o.Before)
	}
	var answer administrator.Audit
	if err := c.client().call(http.MethodGet, path, nil, &answer); err != nil {
		return err
	}
	return c.print(answer, func(w *tabwriter.Writer) {
		writeRow(w, "NUMBER", "AT", "OPERATOR", "ACTION", "BASE", "REVISION", "RESULT", "REASON", "DETAIL")
		for _, r := range answer.Records {
			writeRow(w, r.Number, formatTime(r.At), r.Operator, r.Action, r.Base, r.Revision, resultText(r), orDash(r.Reason), r.Detail)
			if o.Changes {
				writeFieldChanges(w, r)
			}
		}
		if answer.Older && len(answer.Records) > 0 {
			last := answer.Records[len(answer.Records)-1].Number
			fmt.Fprintf(c.std.err, "older records follow: see them with --before %d\n", last)
		}
	})
}

// resultText returns whether a change was accepted, or refused and why.
func resultText(r reducer.AuditRecord) string {
	if r.IsRefused() {
		return "refused: " + r.Problem
	}
	return "accepted"
}

// writeFieldChanges writes one row for each changed field of a record.
func writeFieldChanges(w *tabwriter.Writer, r reducer.AuditRecord) {
	for _, change := range r.Changes {
		writeRow(w, "", change.Path, orDash(change.Before), "->", orDash(change.After))
	}
	if r.Omitted > 0 {
		writeRow(w, "", fmt.Sprintf("and %d fields more", r.Omitted))
	}
}
