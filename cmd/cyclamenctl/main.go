package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/refuser"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

// stdio holds the standard streams of a command.
type stdio struct {
	in       io.Reader
	out, err io.Writer
}

func main() {
	os.Exit(run(os.Args[1:], stdio{in: os.Stdin, out: os.Stdout, err: os.Stderr}))
}

// run executes the command line args and returns the exit code.
func run(args []string, std stdio) int {
	_, err := newParser(std).ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(std.out, flagErr.Message)
		return exitOK
	case errors.As(err, &flagErr):
		fmt.Fprintf(std.err, "cyclamenctl: %s: see 'cyclamenctl --help'\n", flagErr.Message)
		return exitUsage
	default:
		fmt.Fprintf(std.err, "cyclamenctl: %v\n", err)
		return exitCode(err)
	}
}

// exitCode returns the exit code for a failed command.
func exitCode(err error) int {
	var f *refuser.Refusal
	if errors.As(err, &f) && f.Kind() == refuser.Conflict {
		return exitConflict
	}
	return exitFailed
}

// newParser returns a parser with all commands.
func newParser(std stdio) *flags.Parser {
	var g globals
	p := flags.NewNamedParser("cyclamenctl", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "Operates a cyclamenhub fleet."
	mustAdd(p.AddGroup("Global options", "", &g))
	c := &commandContext{globals: &g, std: std}
	addConfigCommands(p, c)
	addExceptionCommands(p, c)
	addAuditCommands(p, c)
	addRolloutCommands(p, c)
	addMemberCommands(p, c)
	addEvacuationCommands(p, c)
	addStatusCommand(p, c)
	addKeyCommands(p, c)
	addLoadCommand(p, c)
	addExplainCommand(p, std)
	return p
}

// mustAdd returns v and panics if err is not nil, since only a programming
// error in a declaration can cause one.
func mustAdd[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}
