// Package daemon assembles one cyclamend process from its components.
//
// The settings determine which components run: every host serves callers and
// operators and receives the distributed documents; a host listed as a keeper
// also stores the control log and the claim groups.
//
// # Usage
//
//	d, err := daemon.New(cfg, daemon.Options{Log: log})
//	err = d.Run(ctx) // serves until ctx ends, then stops gracefully
package daemon
