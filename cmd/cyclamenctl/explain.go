package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/explainer"
)

// addExplainCommand adds "explain".
func addExplainCommand(p *flags.Parser, std stdio) {
	mustAdd(p.AddCommand("explain", "Show what became of one call, from logs",
		"Puts the lines of one call from the logs of several processes in order, with the state that decided.", &explainCommand{std: std}))
}

// explainCommand implements "explain".
type explainCommand struct {
	Args struct {
		ID   string   `positional-arg-name:"ID" required:"yes" description:"the id of the caller's call"`
		Logs []string `positional-arg-name:"LOG" description:"logs of processes; none means standard input"`
	} `positional-args:"yes"`

	std stdio
}

// Execute runs the command.
func (c *explainCommand) Execute([]string) error {
	var e explainer.Explainer
	if len(c.Args.Logs) == 0 {
		if err := e.Read(c.std.in); err != nil {
			return fmt.Errorf("standard input: %w", err)
		}
	}
	var errs []error
	for _, name := range c.Args.Logs {
		errs = append(errs, readLog(&e, name))
	}
	if err := errors.Join(errs...); err != nil {
		return err
	}
	return e.Explain(c.std.out, c.Args.ID)
}

// readLog adds a log file to e.
func readLog(e *explainer.Explainer, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if err := e.Read(f); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
