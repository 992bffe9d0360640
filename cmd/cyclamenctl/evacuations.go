package main

import (
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/evacuator"
)

// addEvacuationCommands adds "evacuations" and its subcommands.
func addEvacuationCommands(p *flags.Parser, c *commandContext) {
	group := mustAdd(p.AddCommand("evacuations", "Read and change the evacuated failure domains",
		"Reads and changes the failure domains whose backend servers get no new calls.", &struct{}{}))
	mustAdd(group.AddCommand("start", "Evacuate a failure domain",
		"Sends no new calls to the backend servers of a failure domain. Calls that run there end as they are.", &evacuationChange{c: c}))
	mustAdd(group.AddCommand("end", "End the evacuation of a failure domain",
		"Sends calls to the backend servers of a failure domain again.", &evacuationChange{c: c, suffix: "/end"}))
	mustAdd(group.AddCommand("list", "List the evacuated failure domains",
		"Lists the evacuated failure domains and since when.", &evacuationsList{c: c}))
}

// evacuationChange implements "evacuations start" and "evacuations end".
type evacuationChange struct {
	reasonOption
	idOption
	Args struct {
		Domain string `positional-arg-name:"DOMAIN" description:"failure domain, as 'status' shows it"`
	} `positional-args:"yes" required:"yes"`
	c *commandContext
	// suffix ends the path of the request.
	suffix string
}

// Execute runs the command.
func (cmd *evacuationChange) Execute([]string) error {
	q := administrator.EvacuationRequest{ChangeID: cmd.id(), Reason: cmd.Reason}
	var changed administrator.ChangeResult
	path := "/evacuations/" + url.PathEscape(cmd.Args.Domain) + cmd.suffix
	if err := cmd.c.client().call(http.MethodPost, path, q, &changed); err != nil {
		return explainResend(err, fmt.Sprintf("--change-id %s", q.ChangeID))
	}
	return cmd.c.print(changed, func(w *tabwriter.Writer) {
		writeRow(w, "FAILURE DOMAIN", "RESENT", "CHANGE ID")
		writeRow(w, cmd.Args.Domain, yesNo(changed.Resent), q.ChangeID)
	})
}

// evacuationsList implements "evacuations list".
type evacuationsList struct{ c *commandContext }

// Execute runs the command.
func (cmd *evacuationsList) Execute([]string) error {
	var answer administrator.Evacuations
	if err := cmd.c.client().call(http.MethodGet, "/evacuations", nil, &answer); err != nil {
		return err
	}
	return cmd.c.print(answer, func(w *tabwriter.Writer) { writeEvacuations(w, answer.Evacuations) })
}

// writeEvacuations writes one row for each evacuated failure domain.
func writeEvacuations(w *tabwriter.Writer, list []evacuator.Evacuation) {
	writeRow(w, "EVACUATED", "SINCE")
	for _, e := range list {
		writeRow(w, e.Domain, e.Since.UTC().Format(time.RFC3339))
	}
}
