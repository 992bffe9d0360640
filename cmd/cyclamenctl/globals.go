package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"
)

// globals holds the options that all commands have.
type globals struct {
	Address string        `long:"address" env:"CYCLAMEN_ADDRESS" default:"http://127.0.0.1:8081" description:"operators' address of any entry host"`
	Token   string        `long:"token" env:"CYCLAMEN_TOKEN" description:"operator's token; the environment keeps it out of the process list"`
	Output  string        `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Timeout time.Duration `long:"timeout" default:"15s" description:"how long to wait for an answer"`
}

// commandContext holds the global options and the standard streams for a
// command.
type commandContext struct {
	globals *globals
	std     stdio
}

// client returns a client for the host in the global options.
func (c *commandContext) client() *client { return newClient(c.globals) }

// print writes v as JSON, or calls table if the output format is a table.
func (c *commandContext) print(v any, table func(w *tabwriter.Writer)) error {
	if c.globals.Output == "json" {
		e := json.NewEncoder(c.std.out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(c.std.out, 0, 8, 2, ' ', 0)
	table(w)
	return w.Flush()
}

// formatTime formats t in UTC, or returns "-" for the zero time.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// yesNo returns "yes" or "no".
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// orDash returns v as a string, or "-" if it is empty.
func orDash[T ~string | ~[]byte](v T) string {
	if len(v) == 0 {
		return "-"
	}
	return string(v)
}

// writeRow writes the cells of one table row.
func writeRow(w *tabwriter.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}
