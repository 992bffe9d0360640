package administrator

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/roller"
)

// withTwoVersions returns a backend with a service whose backend servers run v1
// and v2, and its handler.
func withTwoVersions(t *testing.T) (*MemoryBackend, http.Handler) {
	t.Helper()
	b := &MemoryBackend{}
	h := newTestHandler(b)
	second := `{"name":"draft-2","service":"schrijfhulp","version":"v2","failureDomain":"b","address":"127.0.0.1:9002","concurrency":8},`
	document := strings.Replace(string(fleetDocument(t)), `"backendServers": [`, `"backendServers": [`+second, 1)
	if f := send(t, h, http.MethodPut, "/config", ConfigurationChange{ChangeID: "c-1", Document: json.RawMessage(document)}, new(ChangeResult)); f != nil {
		t.Fatal(f)
	}
	return b, h
}

// moveTo returns a request to roll out version.
func moveTo(id identifier.ChangeID, version identifier.Version) RolloutRequest {
	return RolloutRequest{ChangeID: id, Service: "schrijfhulp", To: version, Deadline: testStart.Add(time.Hour), Reason: "better drafts"}
}

func TestRolloutsAreStartedAndRevertedOnce(t *testing.T) {
	_, h := withTwoVersions(t)
	for _, tt := range []struct {
		path string
		body any
		want RolloutResult
	}{
		{"/rollouts", moveTo("r-1", "v2"), RolloutResult{ID: "r-1"}},
		{"/rollouts", moveTo("r-1", "v2"), RolloutResult{ID: "r-1", Resent: true}},
		{"/rollouts/r-1/revert", RolloutRevert{ChangeID: "c-2", Reason: "odd drafts"}, RolloutResult{ID: "r-1"}},
		{"/rollouts/r-1/revert", RolloutRevert{ChangeID: "c-2", Reason: "odd drafts"}, RolloutResult{ID: "r-1", Resent: true}},
		{"/rollouts", moveTo("r-1", "v2"), RolloutResult{ID: "r-1", Resent: true}},
	} {
		var got RolloutResult
		if f := send(t, h, http.MethodPost, tt.path, tt.body, &got); f != nil {
			t.Fatalf("%s: %v", tt.path, f)
		}
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s: %s", tt.path, diff)
		}
	}
	var list Rollouts
	if f := send(t, h, http.MethodGet, "/rollouts", nil, &list); f != nil {
		t.Fatal(f)
	}
	if len(list.Rollouts) != 1 || list.Rollouts[0].Start.From != "v1" || list.Rollouts[0].Phase != roller.Reverted || list.Rollouts[0].Share != 0 {
		t.Errorf("rollouts are %v, want one from v1, reverted", list.Rollouts)
	}
}

func TestRolloutsAreRefusedAndAudited(t *testing.T) {
	late, unknown, noChangeID := moveTo("r-1", "v2"), moveTo("r-1", "v2"), moveTo("", "v2")
	late.Deadline = testStart
	unknown.Service = "schrijfhlp"
	for _, tt := range []struct {
		name string
		path string
		body any
		kind refuser.Kind
		want string
	}{
		{"no such version", "/rollouts", moveTo("r-1", "v9"), refuser.Malformed, `runs version "v9"`},
		{"the current version", "/rollouts", moveTo("r-1", "v1"), refuser.Malformed, "both versions are v1"},
		{"no such service", "/rollouts", unknown, refuser.Malformed, `no service "schrijfhlp"`},
		{"deadline passed", "/rollouts", late, refuser.Malformed, "the deadline has passed"},
		{"no change id", "/rollouts", noChangeID, refuser.Malformed, "the change id is empty"},
		{"revert without a change id", "/rollouts/r-9/revert", RolloutRevert{}, refuser.Malformed, "the change id is empty"},
		{"unknown rollout", "/rollouts/r-9/revert", RolloutRevert{ChangeID: "c-2"}, refuser.NotFound, "r-9 is unknown"},
		{"reused id", "/rollouts", moveTo("c-1", "v2"), refuser.KeyReused, `"c-1" was used`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b, h := withTwoVersions(t)
			f := send(t, h, http.MethodPost, tt.path, tt.body, nil)
			if f == nil || f.Kind() != tt.kind || !strings.Contains(f.Error(), tt.want) {
				t.Errorf("refusal %v, want kind %q and %q", f, tt.kind, tt.want)
			}
			if v := viewOf(t, b); len(v.Refused) != 1 || len(v.Rollouts) != 0 {
				t.Errorf("refused records %v and rollouts %v, want one record and no rollout", v.Refused, v.Rollouts)
			}
		})
	}
}

// TestRolloutsStartFromVersionOfLastRollout checks that the version of the last
// completed rollout is the current one even if the configuration still names the
// old one.
func TestRolloutsStartFromVersionOfLastRollout(t *testing.T) {
	rollouts := []roller.Record{
		{Phase: roller.Done, Start: roller.StartRollout{Service: "schrijfhulp", From: "v1", To: "v2"}},
		{Phase: roller.Reverted, Start: roller.StartRollout{Service: "schrijfhulp", From: "v2", To: "v3"}},
		{Phase: roller.Done, Start: roller.StartRollout{Service: "dossierbeheer", From: "v2", To: "v7"}},
	}
	for configured, want := range map[identifier.Version]identifier.Version{"v1": "v2", "v2": "v2", "v5": "v5"} {
		if got := versionAfterRollouts(rollouts, "schrijfhulp", configured); got != want {
			t.Errorf("configured %s: current version %s, want %s", configured, got, want)
		}
	}
}

// TestResentRolloutNeedsNoPlan checks that a resent request gets the first
// response even if no backend server runs the new version any more.
func TestResentRolloutNeedsNoPlan(t *testing.T) {
	_, h := withTwoVersions(t)
	var got RolloutResult
	if f := send(t, h, http.MethodPost, "/rollouts", moveTo("r-1", "v2"), &got); f != nil {
		t.Fatal(f)
	}
	if f := send(t, h, http.MethodPut, "/config", ConfigurationChange{ChangeID: "c-2", Base: 1, Document: fleetDocument(t)}, new(ChangeResult)); f != nil {
		t.Fatal(f)
	}
	if f := send(t, h, http.MethodPost, "/rollouts", moveTo("r-1", "v2"), &got); f != nil || !got.Resent {
		t.Errorf("resend: %v, resent %v, want the first response", f, got.Resent)
	}
}
