package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"
)

// globals are the options that every command takes.
type globals struct {
	Address string        `long:"address" env:"CYCLAMEN_ADDRESS" default:"http://127.0.0.1:8081" description:"operators' address of any entry host"`
	Token   string        `long:"token" env:"CYCLAMEN_TOKEN" description:"operator's token; the environment keeps it out of the process list"`
	Output  string        `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
	Timeout time.Duration `long:"timeout" default:"15s" description:"how long to wait for an answer"`
}

// commandContext is what every command works with.
type commandContext struct {
	globals *globals
	std     stdio
}

// client returns a client of the host that the options name.
func (c *commandContext) client() *client { return newClient(c.globals) }

// print writes v as JSON, or by table where the output is a table.
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

// since shows a time, or a dash where there is none.
func since(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// yesNo shows a truth value.
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// orDash shows a text or JSON value, or a dash where there is none.
func orDash[T ~string | ~[]byte](v T) string {
	if len(v) == 0 {
		return "-"
	}
	return string(v)
}

// row writes the cells of one table row.
func row(w *tabwriter.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}
