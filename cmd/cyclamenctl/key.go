package main

import (
	"bufio"
	"errors"
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/configurer"
)

// addKeyCommands adds "key" and its subcommands.
func addKeyCommands(p *flags.Parser, c *commandContext) {
	group := mustAdd(p.AddCommand("key", "Work with keys and tokens", "Works with customers' keys and operators' tokens.", &struct{}{}))
	mustAdd(group.AddCommand("hash", "Print the stored form of a key",
		"Reads a key from the standard input and prints the form that settings and the fleet document hold.", &keyHash{c: c}))
}

// keyHash implements "key hash".
type keyHash struct{ c *commandContext }

// Execute runs the command.
func (cmd *keyHash) Execute([]string) error {
	line, err := bufio.NewReader(cmd.c.std.in).ReadString('\n')
	key := strings.TrimRight(line, "\r\n")
	if key == "" {
		return errors.Join(errors.New("no key on the standard input: write it there, as in 'cyclamenctl key hash < key.txt'"), err)
	}
	fmt.Fprintln(cmd.c.std.out, configurer.HashKey(key))
	return nil
}
