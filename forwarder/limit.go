package forwarder

import (
	"log/slog"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/placer"
)

// recordLimit passes the limit that a response announces to the placer and logs
// each change of what this host knows. A limit that cannot be decoded changes
// nothing.
func (x *exchange) recordLimit(reply *describer.Reply, choice *placer.Choice) {
	if reply.LimitUnreadable {
		if choice.RecordUnreadableLimit() {
			x.f.opts.Log.LogAttrs(x.r.Context(), slog.LevelWarn, "request limit of a backend server cannot be read, the known one stands",
				slog.String("id", string(x.call.ID)), slog.String("server", string(choice.Server)))
		}
		return
	}
	before, changed := choice.RecordLimit(reply.Limit)
	if changed {
		x.f.opts.Log.LogAttrs(x.r.Context(), slog.LevelInfo, "request limit of a backend server changed", slog.String("id", string(x.call.ID)),
			slog.String("server", string(choice.Server)), limitAttr("before", before), limitAttr("perSecond", reply.Limit))
	}
}

// limitAttr returns a limit as an attribute of a log line.
func limitAttr(name string, limit *identifier.RequestRate) slog.Attr {
	if limit == nil {
		return slog.String(name, "none")
	}
	return slog.Float64(name, float64(*limit))
}
