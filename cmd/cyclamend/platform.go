package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cyclamenhub.org/internal/logger"
	"cyclamenhub.org/internal/node"
	"cyclamenhub.org/platform"
)

// platformCommand runs a process of the users' platform, which passes the path
// of the settings file in an environment variable.
type platformCommand struct {
	run func(context.Context, *platform.Settings, node.Options) error
}

const (
	// settingsTimeout bounds how long a starting process reads its settings again
	// while they are missing or malformed, since the platform may be writing them,
	// and settingsRetryInterval is the time between two tries.
	settingsTimeout       = 2 * time.Second
	settingsRetryInterval = 50 * time.Millisecond
)

// readSettings reads the settings file at the start of the process.
func readSettings(path string) (*platform.Settings, error) {
	for until := time.Now().Add(settingsTimeout); ; time.Sleep(settingsRetryInterval) {
		cfg, err := platform.ReadSettings(path)
		if err == nil || path == "" || time.Now().After(until) {
			return cfg, err
		}
	}
}

// Execute serves until the process receives a stop signal, and reloads the
// settings on SIGHUP.
func (c *platformCommand) Execute([]string) error {
	path := os.Getenv(platform.SettingsVariable)
	cfg, err := readSettings(path)
	if err != nil {
		return err
	}
	l := logger.New(os.Stdout, logger.Options{})
	defer l.Close()
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	changed := make(chan struct{}, 1)
	go func() {
		for range hangUps {
			select {
			case changed <- struct{}{}:
			default: // A reload is already pending.
			}
		}
	}()
	ctx, stop := stopContext()
	defer stop()
	return c.run(ctx, cfg, node.Options{
		Log:     slog.New(l),
		Reload:  func() (*platform.Settings, error) { return platform.ReadSettings(path) },
		Changed: changed,
	})
}
