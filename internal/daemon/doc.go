// Package daemon composes one cyclamend process from its parts.
//
// Which parts are active follows from the settings: every host serves callers
// and operators and receives the distributed documents; a host named as keeper
// also keeps the control log.
//
// # Usage
//
//	d, err := daemon.New(cfg, daemon.Options{Log: log})
//	err = d.Run(ctx) // until ctx ends; then a graceful stop
package daemon
