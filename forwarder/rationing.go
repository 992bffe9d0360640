package forwarder

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/placer"
	"cyclamenhub.org/rationer"
)

// rank returns the urgency of the call; 0 is the most urgent.
func (x *exchange) rank() int {
	if x.customer != nil && x.customer.Priority != nil {
		return *x.customer.Priority
	}
	return x.route.Priority
}

// ration reports whether a call for which a server was found is turned away since there
// is too little room, and why. Only a call that has not been sent yet is.
func (x *exchange) ration(choice *placer.Choice) (string, bool) {
	if x.sends > 0 {
		return "", false
	}
	d := rationer.Decide(rationer.Call{
		Rank: rationer.Rank(x.rank()), Wait: choice.ExpectedWait(), First: choice.ExpectedFirstToken(),
		Target: x.route.Target, Remaining: x.deadline.Sub(x.f.opts.Clock.Now()),
	}, x.table.Ranks(x.service), rand.Float64)
	if !d.Refuse {
		return "", false
	}
	choice.End(placer.Unsent)
	x.returnAfter = d.ReturnAfter
	metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamen_rationer_refused_total{service=%q,rank="%d"}`, x.service, x.rank())).Inc()
	x.f.opts.Log.LogAttrs(x.r.Context(), slog.LevelDebug, "call turned away", slog.String("id", string(x.call.ID)),
		slog.Int("rank", x.rank()), slog.Duration("wait", choice.ExpectedWait().Round(time.Millisecond)), slog.String("why", string(d.Reason)))
	return string(d.Reason), true
}
