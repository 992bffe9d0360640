package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/internal/daemon"
)

// runCommand implements "cyclamend run".
type runCommand struct {
	Settings string `long:"settings" required:"true" description:"settings file of this process"`
}

// Execute serves until the process receives a stop signal.
func (c *runCommand) Execute([]string) error {
	cfg, err := configurer.ReadSettings(c.Settings)
	if err != nil {
		return err
	}
	d, err := daemon.New(cfg, daemon.Options{Log: newLogger(cfg.Log)})
	if err != nil {
		return err
	}
	ctx, stop := stopContext()
	defer stop()
	return d.Run(ctx)
}

// stopContext returns a context that ends at the first SIGTERM or SIGINT. A
// second signal terminates the process immediately.
func stopContext() (context.Context, context.CancelFunc) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	return ctx, stop
}

// newLogger returns a logger to the standard error output in the format of the
// settings.
func newLogger(s configurer.LogSettings) *slog.Logger {
	if s.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, nil))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, nil))
}
