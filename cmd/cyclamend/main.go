// Command cyclamend is the daemon that runs on every entry host.
//
// # Usage
//
//	cyclamend run --settings a1.json
//	cyclamend check a1.json
//	cyclamend demo
//
// The run command serves until it receives SIGTERM or SIGINT and then stops
// gracefully. On the users' platform, the entry command forwards callers' calls
// and the keeper command runs a replica of the control log. The check command
// reports every error in settings files or fleet documents. The demo command
// runs a small complete system in one process.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/internal/node"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes the command line args and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	p := flags.NewNamedParser("cyclamend", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "Serves language-model applications from one entry host."
	addCommand(p, "run", "Serve with a settings file", &runCommand{})
	addCommand(p, "entry", "Forward callers' calls on the users' platform", &platformCommand{run: node.RunEntry})
	addCommand(p, "keeper", "Keep the control log on the users' platform", &platformCommand{run: node.RunKeeper})
	addCommand(p, "check", "Check settings files and fleet documents", &checkCommand{out: out})
	addCommand(p, "demo", "Run a whole small system in this process", &demoCommand{out: out})
	_, err := p.ParseArgs(args)
	var flagErr *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp:
		fmt.Fprintln(out, flagErr.Message)
		return exitOK
	case errors.As(err, &flagErr):
		fmt.Fprintf(errOut, "cyclamend: %s: see 'cyclamend --help'\n", flagErr.Message)
		return exitUsage
	default:
		fmt.Fprintf(errOut, "cyclamend: %v\n", err)
		return exitFailed
	}
}

// addCommand adds a command to p. It panics on error, since only a programming
// error can cause one.
func addCommand(p *flags.Parser, name, summary string, command any) {
	if _, err := p.AddCommand(name, summary, "", command); err != nil {
		panic(err)
	}
}
