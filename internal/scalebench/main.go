package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"
)

// maxHosts is the maximum number of hosts of a fleet. It keeps the fleet within
// the memory of one machine.
const maxHosts = 300

// options are the command-line flags.
type options struct {
	Cyclamend string        `long:"cyclamend" required:"true" description:"path of the daemon"`
	Hosts     []int         `long:"hosts" default:"9" description:"fleet size; may be repeated"`
	Domains   int           `long:"domains" default:"4" description:"failure domains"`
	Keepers   int           `long:"keepers" default:"3" description:"keepers, an odd number"`
	Backends  int           `long:"backends" default:"14" description:"backend servers listed in the fleet document"`
	Changes   int           `long:"changes" default:"20" description:"changes to measure"`
	Idle      time.Duration `long:"idle" default:"20s" description:"how long the idle cost is measured"`
	JSON      bool          `long:"json" description:"print JSON"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := measureAll(ctx, &o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "scalebench:", err)
		os.Exit(1)
	}
}

// measureAll measures every fleet size and prints the results.
func measureAll(ctx context.Context, o *options) error {
	var all []sizeResult
	for _, n := range o.Hosts {
		if n > maxHosts || n < o.Keepers {
			return fmt.Errorf("%d hosts: must be from %d to %d", n, o.Keepers, maxHosts)
		}
		r, err := measure(ctx, o, n)
		if err != nil {
			return fmt.Errorf("%d hosts: %w", n, err)
		}
		all = append(all, r)
	}
	if o.JSON {
		return json.NewEncoder(os.Stdout).Encode(all)
	}
	return printTable(all)
}

// roleCost is the mean cost of a process of one role.
type roleCost struct {
	Role      string `json:"role"`
	Processes int    `json:"processes"`
	// CorePercent is processor time divided by elapsed time, in percent of a
	// core.
	CorePercent float64 `json:"corePercent"`
	// ResidentMB is the resident memory in MB.
	ResidentMB float64 `json:"residentMb"`
	// BytesPerSecond is the rate of the bytes exchanged between processes.
	BytesPerSecond float64 `json:"bytesPerSecond"`
}

// sizeResult is the result for one fleet size.
type sizeResult struct {
	Hosts int `json:"hosts"`
	// InForceP50, InForceP99 and InForceMax are times from acceptance until in
	// force on every host, in milliseconds. AcceptP50 is the time from the
	// request to its acceptance, in milliseconds.
	InForceP50 float64    `json:"inForceP50Ms"`
	InForceP99 float64    `json:"inForceP99Ms"`
	InForceMax float64    `json:"inForceMaxMs"`
	AcceptP50  float64    `json:"acceptP50Ms"`
	Idle       []roleCost `json:"idle"`
	Changing   []roleCost `json:"changing"`
	// ChangesPerSecond is the rate of the changes while Changing was measured.
	ChangesPerSecond float64 `json:"changesPerSecond"`
}

// printTable prints the results as a text table.
func printTable(all []sizeResult) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "hosts\taccept p50\tin force p50\tp99\tmax\tphase\trole\tprocesses\tcore %\tMB\tbytes/s")
	for _, r := range all {
		for _, c := range r.Idle {
			printRow(w, r, "idle", c)
		}
		for _, c := range r.Changing {
			printRow(w, r, fmt.Sprintf("%.2f changes/s", r.ChangesPerSecond), c)
		}
	}
	return w.Flush()
}

// printRow prints the cost of one role.
func printRow(w *tabwriter.Writer, r sizeResult, phase string, c roleCost) {
	fmt.Fprintf(w, "%d\t%.1f ms\t%.1f ms\t%.1f ms\t%.1f ms\t%s\t%s\t%d\t%.3f\t%.1f\t%.0f\n",
		r.Hosts, r.AcceptP50, r.InForceP50, r.InForceP99, r.InForceMax,
		phase, c.Role, c.Processes, c.CorePercent, c.ResidentMB, c.BytesPerSecond)
}

// quantile returns the q-quantile of the values, for q from 0 to 1, by nearest
// rank. It returns 0 if there are no values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(values))
	return s[min(int(q*float64(len(s))), len(s)-1)]
}
