// Command soak runs the fault-injection soak test with one seed after the other.
// It exits with status 1 if a promise was broken:
//
//	go build -o target/ ./cmd/cyclamend ./internal/soaker/soak
//	target/soak --binary target/cyclamend --seeds 50
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/internal/soaker"
)

// options holds the command-line flags.
type options struct {
	Binary  string        `long:"binary" required:"true" description:"path of cyclamend"`
	Entry   string        `long:"entry" required:"true" description:"path of gatedentry"`
	Seed    uint64        `long:"seed" default:"1" description:"first seed"`
	Seeds   uint64        `long:"seeds" default:"1" description:"how many seeds to play"`
	Length  time.Duration `long:"length" default:"10s" description:"for how long faults begin in each run"`
	Keepers int           `long:"keepers" default:"3" description:"number of keepers"`
	Entries int           `long:"entries" default:"3" description:"number of entry hosts"`
	Folder  string        `long:"folder" description:"where runs with broken promises leave their logs (a temporary folder)"`
	Verbose bool          `long:"verbose" description:"show each fault as it is played"`
}

func main() { os.Exit(run()) }

// run runs the seeds that the flags select and returns the exit status.
func run() int {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	broken, err := runSeeds(ctx, &opts)
	fmt.Printf("%d of %d seeds broke a promise\n", broken, opts.Seeds)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err != nil || broken > 0 {
		return 1
	}
	return 0
}

// runSeeds runs the seeds and returns how many of them broke a promise. It
// removes the logs of the others.
func runSeeds(ctx context.Context, opts *options) (broken int, err error) {
	folder := opts.Folder
	if folder == "" {
		if folder, err = os.MkdirTemp("", "soak-"); err != nil {
			return 0, err
		}
	}
	for seed := opts.Seed; seed < opts.Seed+opts.Seeds; seed++ {
		runOpts := soaker.Options{
			Seed: seed, Binary: opts.Binary, Entry: opts.Entry, Length: opts.Length, Keepers: opts.Keepers, Entries: opts.Entries,
			Folder: filepath.Join(folder, fmt.Sprint("seed-", seed)),
		}
		if err := os.MkdirAll(runOpts.Folder, 0o700); err != nil {
			return broken, err
		}
		if opts.Verbose {
			runOpts.Progress = func(f soaker.Fault) { fmt.Println(f) }
		}
		r, err := soaker.Run(ctx, runOpts)
		if err != nil {
			return broken, err
		}
		fmt.Print(r)
		if len(r.Violations) > 0 {
			broken++
			continue
		}
		if err := os.RemoveAll(runOpts.Folder); err != nil {
			return broken, err
		}
	}
	return broken, nil
}
