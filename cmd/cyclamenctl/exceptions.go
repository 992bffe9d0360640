package main

import (
	"encoding/json"
	"net/http"
	"net/url"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/configurer"
)

// addExceptionCommands adds "exceptions" and its subcommands.
func addExceptionCommands(p *flags.Parser, c *commandContext) {
	group := mustAdd(p.AddCommand("exceptions", "Read and change the exceptions", "Reads and changes the exceptions to the fleet-wide defaults.", &struct{}{}))
	mustAdd(group.AddCommand("add", "Add an exception",
		"Adds an exception that overrides one field of the defaults, with a written reason.", &exceptionsAdd{c: c}))
	mustAdd(group.AddCommand("list", "List the exceptions",
		"Lists the exceptions, those that have lapsed too.", &exceptionsList{c: c}))
	mustAdd(group.AddCommand("remove", "Remove an exception",
		"Removes an exception, so that the default holds again.", &exceptionsRemove{c: c}))
}

// exceptionsAdd implements "exceptions add".
type exceptionsAdd struct {
	Reason string `long:"reason" required:"yes" description:"why the exception is made"`
	Ends   string `long:"ends" description:"when the exception lapses, as in 2026-12-31T23:59:00Z; by default never"`
	idOption
	baseOption
	Args struct {
		Name  string `positional-arg-name:"NAME" description:"name of the exception"`
		Path  string `positional-arg-name:"PATH" description:"overridden field, as in customers/foodbank/requestsPerSecond"`
		Value string `positional-arg-name:"VALUE" description:"what stands there instead, in JSON; a plain word needs no quotes"`
	} `positional-args:"yes" required:"yes"`
	c *commandContext
}

// Execute runs the command.
func (cmd *exceptionsAdd) Execute([]string) error {
	base, err := cmd.revision(cmd.c)
	if err != nil {
		return err
	}
	addition := administrator.ExceptionAddition{ChangeID: cmd.id(), Base: base, Exception: configurer.Exception{
		Name: cmd.Args.Name, Path: cmd.Args.Path, Value: jsonValue(cmd.Args.Value), Reason: cmd.Reason, Ends: cmd.Ends,
	}}
	return cmd.c.change(http.MethodPost, "/exceptions", addition.ChangeID, base, addition)
}

// jsonValue returns s unchanged if it is valid JSON, and as a JSON string
// otherwise.
func jsonValue(s string) json.RawMessage {
	if json.Valid([]byte(s)) {
		return json.RawMessage(s)
	}
	b, err := json.Marshal(s)
	if err != nil {
		// Encoding a string as JSON cannot fail.
		panic(err)
	}
	return b
}

// exceptionsList implements "exceptions list".
type exceptionsList struct{ c *commandContext }

// Execute runs the command.
func (cmd *exceptionsList) Execute([]string) error {
	var answer administrator.Exceptions
	if err := cmd.c.client().call(http.MethodGet, "/exceptions", nil, &answer); err != nil {
		return err
	}
	return cmd.c.print(answer, func(w *tabwriter.Writer) {
		writeRow(w, "NAME", "PATH", "VALUE", "ENDS", "ACTIVE", "REASON")
		for _, e := range answer.Exceptions {
			writeRow(w, e.Name, e.Path, string(e.Value), orDash(e.Ends), yesNo(e.Active), e.Reason)
		}
	})
}

// exceptionsRemove implements "exceptions remove".
type exceptionsRemove struct {
	reasonOption
	idOption
	baseOption
	Args struct {
		Name string `positional-arg-name:"NAME" description:"name of the exception"`
	} `positional-args:"yes" required:"yes"`
	c *commandContext
}

// Execute runs the command.
func (cmd *exceptionsRemove) Execute([]string) error {
	base, err := cmd.revision(cmd.c)
	if err != nil {
		return err
	}
	removal := administrator.ExceptionRemoval{ChangeID: cmd.id(), Base: base, Reason: cmd.Reason}
	return cmd.c.change(http.MethodPost, "/exceptions/"+url.PathEscape(cmd.Args.Name)+"/remove", removal.ChangeID, base, removal)
}
