package main

import (
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/reducer"
)

// addAuditCommands adds "audit" and its commands.
func addAuditCommands(p *flags.Parser, c *commandContext) {
	group := mustAdd(p.AddCommand("audit", "Read the audit trail", "Reads the audit trail.", &struct{}{}))
	mustAdd(group.AddCommand("list", "List every change, refused ones too",
		"Lists every change, refused ones too, newest first.", &auditList{c: c}))
}

// recordOptions choose the records to list.
type recordOptions struct {
	Limit   int    `long:"limit" default:"50" description:"how many records to list"`
	Before  uint64 `long:"before" description:"list only records with a lower number"`
	Changes bool   `long:"changes" description:"show the changed fields with their values before and after"`
}

// auditList is "audit list".
type auditList struct {
	recordOptions
	c *commandContext
}

// Execute runs the command.
func (cmd *auditList) Execute([]string) error { return cmd.c.printRecords("/audit", cmd.recordOptions) }

// printRecords fetches and prints audit records.
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
		row(w, "NUMBER", "AT", "OPERATOR", "ACTION", "BASE", "REVISION", "RESULT", "REASON", "DETAIL")
		for _, r := range answer.Records {
			row(w, r.Number, since(r.At), r.Operator, r.Action, r.Base, r.Revision, result(r), orDash(r.Reason), r.Detail)
			if o.Changes {
				rowsOfChanges(w, r)
			}
		}
		if answer.Older && len(answer.Records) > 0 {
			last := answer.Records[len(answer.Records)-1].Number
			fmt.Fprintf(c.std.err, "older records follow: see them with --before %d\n", last)
		}
	})
}

// result tells in a word what became of a change, and why.
func result(r reducer.AuditRecord) string {
	if r.IsRefused() {
		return "refused: " + r.Problem
	}
	return "accepted"
}

// rowsOfChanges writes one row for each changed field of a record.
func rowsOfChanges(w *tabwriter.Writer, r reducer.AuditRecord) {
	for _, change := range r.Changes {
		row(w, "", change.Path, orDash(change.Before), "->", orDash(change.After))
	}
	if r.Omitted > 0 {
		row(w, "", fmt.Sprintf("and %d fields more", r.Omitted))
	}
}
