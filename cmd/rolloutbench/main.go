// Command rolloutbench runs the rollout simulations and prints the table of
// docs/design/rollouts.md.
package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"golang.org/x/sync/errgroup"

	"cyclamenhub.org/internal/rolloutbench"
)

// options are the command's flags.
type options struct {
	Runs    int      `long:"runs" default:"201" description:"seeded runs of each kind"`
	Workers int      `long:"workers" default:"3" description:"runs at the same time"`
	Seed    uint64   `long:"seed" default:"0" description:"first seed"`
	Hosts   int      `long:"hosts" description:"entry hosts of each run; drawn from the seed if absent"`
	Policy  []string `long:"policy" description:"policy to measure; all if absent"`
	Kind    []string `long:"kind" description:"kind of candidate to measure; all if absent"`
	Verbose bool     `long:"verbose" description:"print each run"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := o.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run measures the selected policies and kinds and prints the table.
func (o *options) run() error {
	var rows []rolloutbench.Row
	for _, p := range o.policies() {
		for _, k := range o.kinds() {
			rs := o.measure(p, k)
			rows = append(rows, rolloutbench.Tabulate(p, k, 0, rs))
			for _, rate := range []rolloutbench.Rate{rolloutbench.EveningRate, rolloutbench.DayRate, rolloutbench.PeakRate} {
				rows = append(rows, rolloutbench.Tabulate(p, k, rate, rs))
			}
		}
	}
	return rolloutbench.WriteTable(os.Stdout, rows)
}

// measure runs all seeds of one kind under one policy.
func (o *options) measure(p rolloutbench.Policy, k rolloutbench.Kind) []rolloutbench.Result {
	rs := make([]rolloutbench.Result, o.Runs)
	var g errgroup.Group
	g.SetLimit(o.Workers)
	for i := range rs {
		g.Go(func() error {
			s := rolloutbench.NewScenario(k, o.Seed+uint64(i))
			if o.Hosts > 0 {
				s.Hosts = o.Hosts
			}
			rs[i] = rolloutbench.Run(s, p)
			return nil
		})
	}
	_ = g.Wait() // no run returns an error
	if o.Verbose {
		for i := range rs {
			fmt.Println(p, k, rs[i].String())
		}
	}
	return rs
}

func (o *options) policies() []rolloutbench.Policy {
	if o.Policy == nil {
		return []rolloutbench.Policy{rolloutbench.Canary, rolloutbench.Cyclamen}
	}
	out := make([]rolloutbench.Policy, len(o.Policy))
	for i, p := range o.Policy {
		out[i] = rolloutbench.Policy(p)
	}
	return out
}

func (o *options) kinds() []rolloutbench.Kind {
	if o.Kind == nil {
		return rolloutbench.Kinds()
	}
	out := make([]rolloutbench.Kind, len(o.Kind))
	for i, k := range o.Kind {
		out[i] = rolloutbench.Kind(k)
	}
	return out
}
