package main

import (
	"context"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/internal/node"
	"cyclamenhub.org/platform"
	"cyclamenhub.org/platform/standin"
)

// TestSettingsAreReadAgainWhileWritten guards against a process that ends since it
// reads its settings at its start while the platform still writes them.
func TestSettingsAreReadAgainWhileWritten(t *testing.T) {
	m := standin.Machine{IP: "127.7.0.1", Port: 20000, Seeds: []string{"127.7.0.1:20001"}}
	text, err := m.Settings()
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	t.Setenv(platform.SettingsVariable, path)
	written := make(chan error, 1)
	go func() {
		time.Sleep(50 * time.Millisecond)
		first := os.WriteFile(path, text[:len(text)/2], 0o600)
		time.Sleep(50 * time.Millisecond)
		if err := os.WriteFile(path, text, 0o600); err != nil {
			first = err
		}
		written <- first
	}()
	var got string
	c := &platformCommand{run: func(_ context.Context, cfg *platform.Settings, _ node.Options) error {
		got = cfg.IP
		return nil
	}}
	if err := c.Execute(nil); err != nil {
		t.Fatal(err)
	}
	if err := <-written; err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("127.7.0.1", got); diff != "" {
		t.Error(diff)
	}
}
