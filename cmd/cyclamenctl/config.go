package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
)

// addConfigCommands adds "config" and its commands.
func addConfigCommands(p *flags.Parser, c *commandContext) {
	group := mustAdd(p.AddCommand("config", "Read and change the fleet document", "Reads and changes the fleet document.", &struct{}{}))
	mustAdd(group.AddCommand("get", "Print the fleet document",
		"Prints the present fleet document; its revision goes to the standard error output.", &configGet{c: c}))
	mustAdd(group.AddCommand("set", "Replace the fleet document",
		"Replaces the fleet document. Of several changes against one base revision only one is accepted.", &configSet{c: c}))
	mustAdd(group.AddCommand("status", "Show which hosts run which revision",
		"Shows which hosts run which revision and since when.", &configStatus{c: c}))
}

// configGet is "config get".
type configGet struct{ c *commandContext }

// Execute runs the command.
func (cmd *configGet) Execute([]string) error {
	var answer administrator.Configuration
	if err := cmd.c.client().call(http.MethodGet, "/config", nil, &answer); err != nil {
		return err
	}
	if cmd.c.globals.Output == "json" {
		return cmd.c.print(answer, nil)
	}
	fmt.Fprintf(cmd.c.std.err, "revision %d since %s\n", answer.Revision, since(answer.Since))
	if answer.Revision == 0 {
		return nil
	}
	b, err := configurer.Indent(answer.Document)
	if err != nil {
		return err
	}
	_, err = cmd.c.std.out.Write(b)
	return err
}

// changeOptions are the options of every change.
type changeOptions struct {
	Reason   string `long:"reason" description:"why the change is made"`
	ChangeID string `long:"change-id" description:"id of the change; give the same one again to resend a change whose answer was lost"`
}

// id returns the change id, a new one where none was given.
func (o *changeOptions) id() identifier.ChangeID {
	if o.ChangeID == "" {
		o.ChangeID = string(identifier.NewChangeID())
	}
	return identifier.ChangeID(o.ChangeID)
}

// configSet is "config set".
type configSet struct {
	Base uint64 `long:"base" required:"yes" description:"revision that 'config get' showed with the document"`
	changeOptions
	Args struct {
		File string `positional-arg-name:"FILE" description:"file with the new document; - for the standard input"`
	} `positional-args:"yes" required:"yes"`
	c *commandContext
}

// Execute runs the command.
func (cmd *configSet) Execute([]string) error {
	document, err := cmd.c.readFile(cmd.Args.File)
	if err != nil {
		return err
	}
	if _, err := configurer.DecodeFleet(document); err != nil {
		return err
	}
	change := administrator.Change{ChangeID: cmd.id(), Base: identifier.Revision(cmd.Base), Reason: cmd.Reason, Document: document}
	return cmd.c.change(http.MethodPut, "/config", change.ChangeID, change)
}

// change sends a change and prints its revision. Where there is no answer it
// names the change id, which a resend needs.
func (c *commandContext) change(method, path string, id identifier.ChangeID, body any) error {
	var changed administrator.Changed
	if err := c.client().call(method, path, body, &changed); err != nil {
		return fmt.Errorf("change %s: %w", id, err)
	}
	return c.print(changed, func(w *tabwriter.Writer) {
		row(w, "REVISION", "RESENT", "CHANGE ID")
		row(w, changed.Revision, yesNo(changed.Resent), id)
	})
}

// readFile reads a file, or the standard input for "-".
func (c *commandContext) readFile(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(c.std.in)
	}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: name a readable file, or - for the standard input", err)
	}
	return b, nil
}

// configStatus is "config status".
type configStatus struct{ c *commandContext }

// Execute runs the command.
func (cmd *configStatus) Execute([]string) error {
	var status administrator.Status
	if err := cmd.c.client().call(http.MethodGet, "/config/status", nil, &status); err != nil {
		return err
	}
	return cmd.c.print(status, func(w *tabwriter.Writer) {
		row(w, "HOST", "FAILURE DOMAIN", "REVISION", "SINCE", "IN FORCE")
		for _, h := range status.Hosts {
			row(w, h.Host, h.FailureDomain, h.Revision, since(h.Since), yesNo(h.Revision >= status.Revision))
		}
	})
}
