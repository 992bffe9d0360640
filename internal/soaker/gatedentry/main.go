// Command gatedentry runs the entry host of the users' platform like "cyclamend entry",
// but opens each connection to a backend server through a gate of the soak test, so that
// the host can be cut off from all backend servers while others reach them:
//
//	SOAK_GATE=127.30.0.253:4242 gatedentry entry
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"cyclamenhub.org/internal/logger"
	"cyclamenhub.org/internal/node"
	"cyclamenhub.org/platform"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run serves until the process receives a stop signal.
func run() error {
	cfg, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return err
	}
	l := logger.New(os.Stdout, logger.Options{})
	defer l.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return node.RunEntry(ctx, cfg, node.Options{Log: slog.New(l), DialServer: dial})
}

// dial opens a connection to a backend server through the gate, which answers one byte
// once it is open.
func dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", os.Getenv("SOAK_GATE"))
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Now()) })
	_, err = fmt.Fprintln(nc, address)
	if err == nil {
		_, err = nc.Read(make([]byte, 1))
	}
	if !stop() || err != nil {
		_ = nc.Close()
		return nil, fmt.Errorf("dial %s: %w", address, syscall.ECONNREFUSED)
	}
	return nc, nil
}
