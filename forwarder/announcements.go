package forwarder

import (
	"log/slog"
	"slices"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/placer"
)

// recordAnnouncements passes to the placer what a response announces about its
// backend server, and logs each change of what this host knows. What cannot be
// decoded changes nothing.
func (x *exchange) recordAnnouncements(reply *describer.Reply, choice *placer.Choice) {
	choice.RecordLoad(reply.Load)
	for _, a := range reply.Unreadable {
		if choice.RecordUnreadable(a) {
			x.logAnnouncement(slog.LevelWarn, "announcement of a backend server cannot be read, what is known stands", slog.String("announcement", string(a)))
		}
	}
	if !slices.Contains(reply.Unreadable, describer.AnnouncedLimit) {
		if before, changed := choice.RecordLimit(reply.Limit); changed {
			x.logAnnouncement(slog.LevelInfo, "request limit of a backend server changed", limitAttr("before", before), limitAttr("perSecond", reply.Limit))
		}
	}
	if !slices.Contains(reply.Unreadable, describer.AnnouncedBrittle) {
		choice.RecordBrittle(reply.Brittle)
	}
	if !slices.Contains(reply.Unreadable, describer.AnnouncedLeaving) && choice.RecordLeaving(reply.Leaving) {
		x.logAnnouncement(slog.LevelInfo, "backend server announces whether it leaves", slog.Bool("leaving", reply.Leaving))
	}
	if reply.Pause > 0 {
		choice.RecordPause(reply.Pause)
		x.logAnnouncement(slog.LevelInfo, "backend server wants no calls for some time", slog.Duration("pause", reply.Pause.Round(time.Millisecond)))
	}
}

// logAnnouncement logs what a response announces about its backend server.
func (x *exchange) logAnnouncement(l slog.Level, msg string, attrs ...slog.Attr) {
	attrs = append([]slog.Attr{slog.String("id", string(x.call.ID)), slog.String("server", string(x.server))}, attrs...)
	x.f.opts.Log.LogAttrs(x.r.Context(), l, msg, attrs...)
}

// limitAttr returns a limit as an attribute of a log line.
func limitAttr(name string, limit *identifier.RequestRate) slog.Attr {
	if limit == nil {
		return slog.String(name, "none")
	}
	return slog.Float64(name, float64(*limit))
}
