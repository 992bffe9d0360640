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

// addConfigCommands adds "config" and its subcommands.
func addConfigCommands(p *flags.Parser, c *commandContext) {
	group := mustAdd(p.AddCommand("config", "Read and change the fleet document", "Reads and changes the fleet document.", &struct{}{}))
	mustAdd(group.AddCommand("get", "Print the fleet document",
		"Prints the present fleet document; its revision goes to the standard error output.", &configGet{c: c}))
	mustAdd(group.AddCommand("set", "Replace the fleet document",
		"Replaces the fleet document. Of several changes against one base revision only one is accepted.", &configSet{c: c}))
	mustAdd(group.AddCommand("check", "Check a fleet document",
		"Checks a fleet document without a host and names every fault.", &configCheck{c: c}))
	mustAdd(group.AddCommand("diff", "Compare a fleet document with the present one",
		"Shows the fields in which a file differs from the present fleet document.", &configDiff{c: c}))
	mustAdd(group.AddCommand("history", "List the accepted changes",
		"Lists the accepted changes, newest first.", &configHistory{c: c}))
	mustAdd(group.AddCommand("status", "Show which hosts run which revision",
		"Shows which hosts run which revision and since when.", &configStatus{c: c}))
}

// configGet implements "config get".
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
	fmt.Fprintf(cmd.c.std.err, "revision %d since %s\n", answer.Revision, formatTime(answer.Since))
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

// configSet implements "config set".
type configSet struct {
	Base uint64 `long:"base" required:"yes" description:"revision that 'config get' showed with the document"`
	reasonOption
	idOption
	fileArgument
	c *commandContext
}

// fileArgument is the argument of commands that read a fleet document.
type fileArgument struct {
	Args struct {
		File flags.Filename `positional-arg-name:"FILE" description:"file with the fleet document; - for the standard input"`
	} `positional-args:"yes" required:"yes"`
}

// read returns the contents of the file, or an error if it is not a valid fleet
// document.
func (a *fileArgument) read(c *commandContext) ([]byte, error) {
	document, err := c.readFile(string(a.Args.File))
	if err != nil {
		return nil, err
	}
	_, err = configurer.DecodeFleet(document)
	return document, err
}

// Execute runs the command.
func (cmd *configSet) Execute([]string) error {
	document, err := cmd.read(cmd.c)
	if err != nil {
		return err
	}
	change := administrator.ConfigurationChange{ChangeID: cmd.id(), Base: identifier.Revision(cmd.Base), Reason: cmd.Reason, Document: document}
	return cmd.c.change(http.MethodPut, "/config", change.ChangeID, change.Base, change)
}

// readFile reads a file, or the standard input if path is "-".
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

// configCheck implements "config check".
type configCheck struct {
	fileArgument
	c *commandContext
}

// Execute runs the command.
func (cmd *configCheck) Execute([]string) error {
	_, err := cmd.read(cmd.c)
	return err
}

// configDiff implements "config diff".
type configDiff struct {
	fileArgument
	c *commandContext
}

// Execute runs the command.
func (cmd *configDiff) Execute([]string) error {
	document, err := cmd.read(cmd.c)
	if err != nil {
		return err
	}
	var current administrator.Configuration
	if err := cmd.c.client().call(http.MethodGet, "/config", nil, &current); err != nil {
		return err
	}
	changes := configurer.Diff(current.Document, document)
	return cmd.c.print(changes, func(w *tabwriter.Writer) { printChanges(w, changes) })
}

// printChanges writes one row for each changed field.
func printChanges(w *tabwriter.Writer, changes []configurer.FieldChange) {
	writeRow(w, "FIELD", "BEFORE", "AFTER")
	for _, change := range changes {
		writeRow(w, change.Path, orDash(change.Before), orDash(change.After))
	}
}

// configHistory implements "config history".
type configHistory struct {
	recordOptions
	c *commandContext
}

// Execute runs the command.
func (cmd *configHistory) Execute([]string) error {
	return cmd.c.printRecords("/config/history", cmd.recordOptions)
}

// configStatus implements "config status".
type configStatus struct{ c *commandContext }

// Execute runs the command.
func (cmd *configStatus) Execute([]string) error {
	var status administrator.ConfigurationStatus
	if err := cmd.c.client().call(http.MethodGet, "/config/status", nil, &status); err != nil {
		return err
	}
	return cmd.c.print(status, func(w *tabwriter.Writer) { writeHosts(w, status) })
}

// writeHosts writes one row for each host.
func writeHosts(w *tabwriter.Writer, s administrator.ConfigurationStatus) {
	writeRow(w, "HOST", "FAILURE DOMAIN", "REVISION", "SINCE", "IN FORCE")
	for _, h := range s.Hosts {
		writeRow(w, h.Host, h.FailureDomain, h.Revision, formatTime(h.Since), yesNo(h.Revision >= s.Revision))
	}
}
