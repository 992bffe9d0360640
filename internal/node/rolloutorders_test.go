package node

import (
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"cyclamenhub.org/distributor"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/platform/standin"
	"cyclamenhub.org/roller"
)

// TestRolloutOrderGoesThroughFollower sends an order to a keeper that does not
// lead. The rollout must be planned with what the hosts report to the leading
// one: a follower knows neither the number of hosts nor their latencies.
func TestRolloutOrderGoesThroughFollower(t *testing.T) {
	s := newSystem(t)
	s.startKeepers(true)
	s.put(keeperA, standin.Document(1, `["k1"]`))
	entries := []*entry{s.newSyncedEntry(entryA), s.newSyncedEntry("127.7.0.5")}
	leader := *entries[0].leader.Load()
	for _, ip := range []string{keeperA, keeperB, keeperC} {
		if strings.HasPrefix(leader, ip+":") {
			continue
		}
		s.await("rollout is ordered", func() bool {
			for _, e := range entries {
				e.syncOrSearch(t.Context())
			}
			order := `{"service":"cases","target":"v2","durationS":30}`
			status, _ := s.request(http.MethodPost, ip, standin.OperatorPort, standin.RolloutPath, order, nil)
			return status == http.StatusOK
		})
		break
	}
	s.await("hosts are counted", func() bool {
		ds := s.directives(entries[0], leader)
		return len(ds) == 1 && ds[0].Hosts == len(entries)
	})
}

// newSyncedEntry returns an entry host that has synced with the leader. It
// serves no calls.
func (s *system) newSyncedEntry(ip string) *entry {
	s.t.Helper()
	e := newEntry(s.settings(ip, false), Options{Log: slog.New(slog.DiscardHandler)})
	s.t.Cleanup(e.messenger.Close)
	s.await("host finds the leader", func() bool {
		e.syncOrSearch(s.t.Context())
		return e.leader.Load() != nil
	})
	return e
}

// directives returns the rollout directives that a keeper distributes.
func (s *system) directives(e *entry, keeper string) []roller.Directive {
	s.t.Helper()
	var resp wire.WatchResponse
	if err := e.messenger.Call(s.t.Context(), keeper, distributor.WatchMethod, &wire.WatchRequest{}, &resp); err != nil {
		return nil
	}
	for _, topic := range resp.GetNews() {
		var ds []roller.Directive
		if topic.GetName() == string(rolloutTopic) && json.Unmarshal(topic.GetBody(), &ds) == nil {
			return ds
		}
	}
	return nil
}
