// Command tabulator runs seeded load simulations and prints the tables of
// docs/design.
//
//	go run ./internal/loadbench/tabulator -table policies
package main

import (
	"flag"
	"fmt"
	"os"

	"cyclamenhub.org/internal/loadbench"
)

func main() {
	table := flag.String("table", "policies", "which table to print; list shows the names")
	seed := flag.Uint64("seed", 1, "seed of all runs")
	flag.Parse()
	if err := loadbench.WriteTable(os.Stdout, *table, *seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
