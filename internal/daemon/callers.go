package daemon

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/claimer"
	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/drainer"
	"cyclamenhub.org/server"
)

// newCallers returns the interface for callers, not ready yet, and sets up the
// drainer behind it.
func (d *Daemon) newCallers() *server.Server {
	set := metrics.GetDefaultSet()
	work := dispatcher.New(dispatcher.Options{
		Tables: &d.tables, Clock: d.clock, Log: d.log, Metrics: set,
		Host: d.cfg.Host, FailureDomain: d.cfg.FailureDomain, Draw: d.drawVersion,
		Admitter: d.admitter,
		Claimer:  claimer.NewReplicatedClaimer(d.claims, d.cfg.ClaimGroupCount()),
	})
	d.drainer = drainer.New(drainer.Options{
		Self: d.cfg.Self(), Hosts: d.cfg.Hosts, Dispatcher: work, Call: d.messenger.Call,
		SetReady: func(ready bool) { d.callers.SetReady(ready) }, RefuseNew: func() { d.callers.RefuseNew() },
		Clock: d.clock, Log: d.log, Metrics: set,
	})
	d.drainer.Register(d.messenger)
	s := server.New(server.Options{
		Dispatcher: work, Tables: &d.tables, Clock: d.clock, Log: d.log, Metrics: set, Finder: d.drainer,
	})
	s.SetReady(false)
	return s
}

// operatorHandler serves operators, and takes the platform's notices in.
func (d *Daemon) operatorHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/", administrator.New(d.control, d.cfg.Operators.Tokens, d.clock, d.log))
	m.Handle("POST /v1/notices", d.drainer.NoticeHandler(d.cfg.Operators.Tokens))
	return m
}
