// Command cyclamend is the daemon that runs on every entry host.
//
// # Usage
//
//	cyclamend run --settings a1.json
//	cyclamend check a1.json
//	cyclamend demo
//
// The run command serves until it gets SIGTERM or SIGINT and then stops
// gracefully. The check command reports every fault of settings files or fleet
// documents. The demo command runs a whole small system in one process.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/internal/node"
)

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

// run executes one command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	p := flags.NewNamedParser("cyclamend", flags.HelpFlag|flags.PassDoubleDash)
	p.ShortDescription = "Serves language-model applications from one entry host."
	add(p, "run", "Serve with a settings file", &runCommand{})
	add(p, "entry", "Forward callers' calls on the users' platform", &platformCommand{run: node.RunEntry})
	add(p, "keeper", "Keep the control log on the users' platform", &platformCommand{run: node.RunKeeper})
	add(p, "check", "Check settings files and fleet documents", &checkCommand{out: out})
	add(p, "demo", "Run a whole small system in this process", &demoCommand{out: out})
	_, err := p.ParseArgs(args)
	var wrong *flags.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &wrong) && wrong.Type == flags.ErrHelp:
		fmt.Fprintln(out, wrong.Message)
		return exitOK
	case errors.As(err, &wrong):
		fmt.Fprintf(errOut, "cyclamend: %s: see 'cyclamend --help'\n", wrong.Message)
		return exitUsage
	default:
		fmt.Fprintf(errOut, "cyclamend: %v\n", err)
		return exitFailed
	}
}

// add declares a command; a wrong declaration is a fault of this program.
func add(p *flags.Parser, name, summary string, command any) {
	if _, err := p.AddCommand(name, summary, "", command); err != nil {
		panic(err)
	}
}
