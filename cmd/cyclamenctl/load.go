package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/loader"
)

// addLoadCommand adds "load".
func addLoadCommand(p *flags.Parser, c *commandContext) {
	mustAdd(p.AddCommand("load", "Send load and measure the answers",
		"Sends requests to entry hosts, or straight to backend servers for comparison, and reports percentiles. "+
			"Ctrl-C ends it early and reports what was measured.", &loadCommand{c: c}))
}

// defaultLoadBody is the request body if none is given; %d is the number of
// tokens.
const defaultLoadBody = `{"model":"drafting","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"Draft a short letter."}]}`

// loadCommand implements "load".
type loadCommand struct {
	Targets     []string      `long:"target" default:"http://127.0.0.1:8080" description:"base URL; repeated ones are used in turn"`
	Path        string        `long:"path" default:"/v1/chat/completions" description:"path of every request"`
	Body        string        `long:"body" description:"body of every request; @FILE reads a file; empty asks the model service drafting"`
	Tokens      int           `long:"tokens" default:"16" description:"tokens to ask for in the default body"`
	Key         string        `long:"key" env:"CYCLAMEN_KEY" description:"caller's key; the environment keeps it out of the process list"`
	Plain       bool          `long:"plain" description:"answers are no event streams"`
	Keyed       bool          `long:"keyed" description:"give each request an Idempotency-Key of its own"`
	Rate        float64       `long:"rate" description:"arrivals a second; 0 keeps --concurrency requests in flight"`
	Concurrency int           `long:"concurrency" default:"64" description:"bound of the requests in flight"`
	Duration    time.Duration `long:"duration" default:"10s" description:"how long requests are started"`
	Seed        uint64        `long:"seed" default:"1" description:"seed of the arrival times"`
	Quiet       bool          `long:"quiet" description:"show no progress"`

	c *commandContext
}

// Execute runs the command.
func (cmd *loadCommand) Execute([]string) error {
	body, err := cmd.body()
	if err != nil {
		return err
	}
	plan := loader.Plan{
		Targets: cmd.Targets, Path: cmd.Path, Body: body, Key: cmd.Key, Stream: !cmd.Plain, IdempotencyKeys: cmd.Keyed,
		Rate: cmd.Rate, Concurrency: cmd.Concurrency, Duration: cmd.Duration, Timeout: cmd.c.globals.Timeout, Seed: cmd.Seed,
	}
	if !cmd.Quiet {
		plan.Progress = cmd.progress
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := loader.Run(ctx, plan)
	if err != nil {
		return err
	}
	if cmd.c.globals.Output == "json" {
		return cmd.c.print(report, nil)
	}
	return report.WriteTable(cmd.c.std.out)
}

// body returns the body to send with every request.
func (cmd *loadCommand) body() ([]byte, error) {
	if cmd.Body == "" {
		return fmt.Appendf(nil, defaultLoadBody, cmd.Tokens), nil
	}
	if name, ok := strings.CutPrefix(cmd.Body, "@"); ok {
		b, err := os.ReadFile(name)
		if err != nil {
			return nil, fmt.Errorf("body: %w: name a readable file after @", err)
		}
		return b, nil
	}
	return []byte(cmd.Body), nil
}

// progress prints the counts of the run so far.
func (cmd *loadCommand) progress(p loader.Progress) {
	fmt.Fprintf(cmd.c.std.err, "%4.0fs  started %d  answered %d  failed %d\n", p.Elapsed.Seconds(), p.Started, p.Answered, p.Failed)
}
