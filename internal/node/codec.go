package node

import (
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/placer"
	"cyclamenhub.org/sharer"
)

// decodeNames returns ids as they were sent.
func decodeNames[ID ~string](names []string) []ID {
	out := make([]ID, len(names))
	for i, n := range names {
		out[i] = ID(n)
	}
	return out
}

// encodeNames returns ids as they are sent.
func encodeNames[ID ~string](ids []ID) []string {
	out := make([]string, len(ids))
	for i, id := range ids {
		out[i] = string(id)
	}
	return out
}

// decodeGrants returns the grants of a sync response.
func decodeGrants(resp *wire.SyncResponse) sharer.Grants {
	g := sharer.Grants{
		Customers: make(map[identifier.Customer]sharer.Grant, len(resp.GetGrants())),
		Others:    identifier.Share(resp.GetOthers()),
	}
	for c, v := range resp.GetGrants() {
		g.Customers[identifier.Customer(c)] = sharer.Grant{Level: v.GetLevel(), Share: identifier.Share(v.GetShare()), Part: identifier.Share(v.GetPart())}
	}
	return g
}

// encodeGrants writes grants into a sync response.
func encodeGrants(resp *wire.SyncResponse, g sharer.Grants) {
	resp.Others = float64(g.Others)
	resp.Grants = make(map[string]*wire.Grant, len(g.Customers))
	for c, v := range g.Customers {
		resp.Grants[string(c)] = &wire.Grant{Level: v.Level, Share: float64(v.Share), Part: float64(v.Part)}
	}
}

// encodeLoads converts loads to protobuf. Negative counts become 0.
func encodeLoads(loads map[identifier.BackendServer]placer.Load) map[string]*wire.ServerLoad {
	out := make(map[string]*wire.ServerLoad, len(loads))
	for id, l := range loads {
		out[string(id)] = &wire.ServerLoad{Running: uint32(max(l.Running, 0)), Unread: uint32(max(l.Unread, 0)), Context: uint32(max(l.Context, 0))}
	}
	return out
}

// decodeLoads converts loads from protobuf.
func decodeLoads(loads map[string]*wire.ServerLoad) map[identifier.BackendServer]placer.Load {
	out := make(map[identifier.BackendServer]placer.Load, len(loads))
	for id, l := range loads {
		out[identifier.BackendServer(id)] = placer.Load{
			Running: int(l.GetRunning()), Unread: identifier.Tokens(l.GetUnread()), Context: identifier.Tokens(l.GetContext()),
		}
	}
	return out
}

// decodeUse returns the use that a sync request reports, by customer.
func decodeUse(req *wire.SyncRequest) map[identifier.Customer]sharer.Use {
	use := make(map[identifier.Customer]sharer.Use, len(req.GetUse()))
	for c, u := range req.GetUse() {
		use[identifier.Customer(c)] = sharer.Use{Asked: u.GetAsked(), Taken: u.GetTaken()}
	}
	return use
}

// encodeWindow converts the counts of a window to protobuf.
func encodeWindow(w describer.Window, counts describer.Counts) *wire.WindowCounts {
	out := &wire.WindowCounts{Window: int64(w), Counts: make(map[string]int64, len(counts))}
	for c, n := range counts {
		out.Counts[string(c)] = n
	}
	return out
}

// decodeWindows converts the counts of windows from protobuf.
func decodeWindows(ws []*wire.WindowCounts) map[describer.Window]describer.Counts {
	out := make(map[describer.Window]describer.Counts, len(ws))
	for _, w := range ws {
		counts := make(describer.Counts, len(w.GetCounts()))
		for c, n := range w.GetCounts() {
			counts[identifier.Customer(c)] = n
		}
		out[describer.Window(w.GetWindow())] = counts
	}
	return out
}

// maxMessageTime bounds the durations in messages.
const maxMessageTime = 24 * time.Hour

// encodeMillis converts a duration to milliseconds. A negative one becomes 0.
func encodeMillis(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }

// decodeMillis converts a duration from milliseconds, at most maxMessageTime.
func decodeMillis(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxMessageTime.Milliseconds()))) * time.Millisecond
}

// serverRun returns the run of a server as it was sent.
func serverRun(id string, incarnation uint64) identifier.ServerRun {
	return identifier.ServerRun{ID: identifier.BackendServer(id), Incarnation: incarnation}
}
