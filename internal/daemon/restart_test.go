package daemon

import (
	"context"
	"log/slog"
	"path/filepath"
	"testing"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/keeper"
	"cyclamenhub.org/reducer"
)

// TestRestartFromSnapshot checks that a keeper whose data folder holds a
// snapshot of the control state starts with its configuration in force.
func TestRestartFromSnapshot(t *testing.T) {
	folder := t.TempDir()
	fleet := &configurer.Fleet{Defaults: configurer.Defaults{Limits: configurer.Limits{
		BodyBytes: 1, QueuedRequests: 1, ClaimHorizon: configurer.Duration(time.Hour),
	}}}
	writeSnapshot(t, folder, fleet.Encode())
	d, err := New(&configurer.Settings{
		Host: "a1", FailureDomain: "a", DataFolder: folder, Keepers: []identifier.Host{"a1"},
		Hosts:     []configurer.HostAddress{{Name: "a1", FailureDomain: "a", Address: "127.0.0.1:0"}},
		Callers:   configurer.CallerSettings{Listen: "127.0.0.1:0"},
		Operators: configurer.OperatorSettings{Listen: "127.0.0.1:0"},
	}, Options{Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	if d.tables.Load() == nil {
		t.Error("the configuration of the snapshot is not in force")
	}
}

// writeSnapshot fills folder with a log and a snapshot that holds document.
func writeSnapshot(t *testing.T, folder string, document []byte) {
	t.Helper()
	k, err := keeper.Open(keeper.Options{
		Host: "a1", DataFolder: folder, StateMachine: &reducer.Machine{}, SnapshotEntries: 1,
		Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for i := range 20 {
		entry, err := reducer.EncodeEvent(reducer.ChangeConfiguration{
			ChangeID: identifier.NewChangeID(), Base: identifier.Revision(i), Operator: "ana", Document: document,
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := k.Propose(ctx, entry); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
	if found, err := filepath.Glob(filepath.Join(folder, "group-0", "snapshot*")); err != nil || len(found) == 0 {
		t.Fatalf("no snapshot in the folder: %v", err)
	}
}
