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

// newCallerServer returns the HTTP server for callers, which reports not ready
// at first, and creates the drainer that it uses.
func (d *Daemon) newCallerServer() *server.Server {
	set := metrics.GetDefaultSet()
	disp := dispatcher.New(dispatcher.Options{
		Tables: &d.tables, Clock: d.clock, Log: d.log, Metrics: set,
		Host: d.cfg.Host, FailureDomain: d.cfg.FailureDomain, PickVersion: d.pickVersion,
		Admitter: d.admitter,
		Claimer:  claimer.NewReplicatedClaimer(d.claims, d.cfg.ClaimGroupCount()),
	})
	d.drainer = drainer.New(drainer.Options{
		Self: d.cfg.Self(), Hosts: d.cfg.Hosts, Dispatcher: disp, Call: d.messenger.Call,
		SetReady: func(ready bool) { d.callerServer.SetReady(ready) }, RefuseNew: func() { d.callerServer.RefuseNew() },
		Clock: d.clock, Log: d.log, Metrics: set,
	})
	d.drainer.Register(d.messenger)
	s := server.New(server.Options{
		Dispatcher: disp, Tables: &d.tables, Clock: d.clock, Log: d.log, Metrics: set, Finder: d.drainer,
	})
	s.SetReady(false)
	return s
}

// operatorHandler returns the handler for operators, which also accepts the
// platform's notices.
func (d *Daemon) operatorHandler() http.Handler {
	m := http.NewServeMux()
	m.Handle("/", administrator.New(d.control, d.cfg.Operators.Tokens, d.clock, d.log))
	m.Handle("POST /v1/notices", d.drainer.NoticeHandler(d.cfg.Operators.Tokens))
	return m
}
