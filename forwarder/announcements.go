package forwarder

import (
	"fmt"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"cyclamenhub.org/connector"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/placer"
)

// headerRelayedServer names the run of the backend server in an answer that one host
// passes on to another. Callers never get it.
const headerRelayedServer = "Hub-Relayed-Server"

// encodeRun returns the run of a server as the value of headerRelayedServer.
func encodeRun(r identifier.ServerRun) string { return fmt.Sprintf("%d %s", r.Incarnation, r.ID) }

// decodeRun decodes the value of headerRelayedServer.
func decodeRun(v string) (identifier.ServerRun, bool) {
	incarnation, id, _ := strings.Cut(v, " ")
	n, err := strconv.ParseUint(incarnation, 10, 64)
	return identifier.ServerRun{ID: identifier.BackendServer(id), Incarnation: n}, err == nil && id != ""
}

// recordRelayed records what an answer that has come through a peer announces about its
// backend server. A peer of an older release does not name the server.
func (x *exchange) recordRelayed(res *connector.Response) {
	run, ok := decodeRun(res.Header.Get(headerRelayedServer))
	res.Header.Del(headerRelayedServer)
	if !ok {
		return
	}
	if r, ok := x.f.opts.Placer.Responder(run); ok {
		reply := x.f.opts.Codec.Reply(res.Status, res.Header)
		x.recordAnnouncements(&reply, r)
	}
}

// nameServer names the backend server in an answer to a host that has relayed the call.
func (x *exchange) nameServer(h http.Header, run identifier.ServerRun) {
	if x.isRelayed {
		h.Set(headerRelayedServer, encodeRun(run))
	}
}

// recordAnnouncements passes to the placer what a response announces about its
// backend server, and logs each change of what this host knows. What cannot be
// decoded changes nothing.
func (x *exchange) recordAnnouncements(reply *describer.Reply, r placer.Responder) {
	r.RecordLoad(reply.Load)
	for _, a := range reply.Unreadable {
		if r.RecordUnreadable(a) {
			x.logAnnouncement(r, slog.LevelWarn, "announcement of a backend server cannot be read, what is known stands", slog.String("announcement", string(a)))
		}
	}
	if !slices.Contains(reply.Unreadable, describer.AnnouncedLimit) {
		if before, changed := r.RecordLimit(reply.Limit); changed {
			x.logAnnouncement(r, slog.LevelInfo, "request limit of a backend server changed", limitAttr("before", before), limitAttr("perSecond", reply.Limit))
		}
	}
	if !slices.Contains(reply.Unreadable, describer.AnnouncedBrittle) {
		r.RecordBrittle(reply.Brittle)
	}
	if !slices.Contains(reply.Unreadable, describer.AnnouncedLeaving) && r.RecordLeaving(reply.Leaving) {
		x.f.notices.heard(r.Run(), reply.Leaving, x.f.opts.Clock.Now())
		x.logAnnouncement(r, slog.LevelInfo, "backend server announces whether it leaves", slog.Bool("leaving", reply.Leaving))
	}
}

// recordPause records that the chosen server wants no calls of this host for some time.
func (x *exchange) recordPause(reply *describer.Reply, choice *placer.Choice) {
	if reply.Pause > 0 {
		choice.RecordPause(reply.Pause)
		x.logAnnouncement(choice.Responder, slog.LevelInfo, "backend server wants no calls for some time", slog.Duration("pause", reply.Pause.Round(time.Millisecond)))
	}
}

// logAnnouncement logs what a response announces about its backend server.
func (x *exchange) logAnnouncement(r placer.Responder, l slog.Level, msg string, attrs ...slog.Attr) {
	attrs = append([]slog.Attr{slog.String("id", string(x.call.ID)), slog.String("server", string(r.ID()))}, attrs...)
	x.f.opts.Log.LogAttrs(x.r.Context(), l, msg, attrs...)
}

// limitAttr returns a limit as an attribute of a log line.
func limitAttr(name string, limit *identifier.RequestRate) slog.Attr {
	if limit == nil {
		return slog.String(name, "none")
	}
	return slog.Float64(name, float64(*limit))
}
