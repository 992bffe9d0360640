// Command fakeserver runs one fake backend server as a process of its own, for
// scenario tests.
//
// # Usage
//
//	fakeserver --listen 127.0.0.1:9001 --kind model --name m1 --version v1
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/internal/faker"
)

// options holds the command-line flags.
type options struct {
	Listen  string        `long:"listen" required:"true" description:"address"`
	Kind    string        `long:"kind" choice:"model" choice:"plain" default:"model" description:"kind of backend server"`
	Name    string        `long:"name" default:"fake" description:"name of the backend server"`
	Version string        `long:"version" default:"v1" description:"version that it runs"`
	Seed    uint64        `long:"seed" default:"1" description:"seed of its random faults"`
	Step    time.Duration `long:"step" default:"2ms" description:"time of a decoding step"`
	Prompt  time.Duration `long:"prompt" default:"0s" description:"time to compute a prompt token"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	err := serve(ctx, &o)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "fakeserver:", err)
		os.Exit(1)
	}
}

// serve serves requests until ctx ends. It returns an error if it cannot listen.
func serve(ctx context.Context, o *options) error {
	s := &http.Server{Addr: o.Listen, Handler: newHandler(o), ReadHeaderTimeout: time.Second}
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// newHandler returns the fake model engine or plain service that o describes.
func newHandler(o *options) http.Handler {
	if o.Kind == "plain" {
		return faker.NewPlain(o.Seed)
	}
	return faker.NewEngine(faker.EngineConfig{
		Name: o.Name, Version: o.Version, Seed: o.Seed, StepTime: o.Step, PromptTokenTime: o.Prompt,
	})
}
