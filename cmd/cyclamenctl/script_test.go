package main

import (
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/configurer"
	"cyclamenhub.org/timer"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"cyclamenctl": main})
}

// TestScripts runs each script against a separate host, whose clock is fixed at
// 2026-12-01T20:00:00Z.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			now := time.Date(2026, 12, 1, 20, 0, 0, 0, time.UTC)
			backend := &administrator.MemoryBackend{Hosts: []administrator.HostRevision{
				{Host: "b1", FailureDomain: "b", Revision: 0},
				{Host: "a1", FailureDomain: "a", Revision: 1, Since: now},
			}}
			backend.Replicas = administrator.Members{Term: 3, Members: []administrator.Member{
				{Replica: 12, Host: "b1", FailureDomain: "b", Voter: true},
				{Replica: 11, Host: "a1", FailureDomain: "a", Voter: true, Leader: true},
			}}
			tokens := []configurer.OperatorToken{
				{Operator: "els", TokenHash: configurer.HashKey("els-token")},
				{Operator: "janis", TokenHash: configurer.HashKey("janis-token")},
			}
			host := httptest.NewServer(administrator.New(backend, tokens, timer.NewManual(now), slog.New(slog.DiscardHandler)))
			env.Defer(host.Close)
			env.Setenv("CYCLAMEN_ADDRESS", host.URL)
			env.Setenv("CYCLAMEN_TOKEN", "els-token")
			return nil
		},
	})
}
