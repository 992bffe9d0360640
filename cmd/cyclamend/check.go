package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"cyclamenhub.org/configurer"
)

// checkCommand implements "cyclamend check".
type checkCommand struct {
	Fleet bool `long:"fleet" description:"the files are fleet documents"`
	Files struct {
		Names []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"true"`

	out io.Writer
}

// Execute checks every file and reports all errors.
func (c *checkCommand) Execute([]string) error {
	var errs []error
	for _, name := range c.Files.Names {
		if err := c.check(name); err != nil {
			errs = append(errs, err)
			continue
		}
		fmt.Fprintf(c.out, "%s: ok\n", name)
	}
	return errors.Join(errs...)
}

// check checks one file.
func (c *checkCommand) check(name string) error {
	if !c.Fleet {
		_, err := configurer.ReadSettings(name)
		return err
	}
	b, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	if _, err := configurer.DecodeFleet(b); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
