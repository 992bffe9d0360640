package node

import (
	"context"
	"time"

	"cyclamenhub.org/announcer"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/permitter"
	"cyclamenhub.org/scaler"
)

// permitWait is how long a call waits for a permit that its host has asked the
// leader for. A sync takes a few milliseconds.
const permitWait = 250 * time.Millisecond

// requestPermits gets permits and places from the leader for the calls that need
// them, and returns once that is done, or after permitWait.
func (e *entry) requestPermits(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.requestPlaces(context.WithoutCancel(ctx))
		e.permitMu.Lock()
		defer e.permitMu.Unlock()
		if e.placer.NeedsPermits() { // Otherwise a sync that has ended meanwhile has asked.
			e.syncWithTimeout(context.WithoutCancel(ctx))
		}
	}()
	t := time.NewTimer(permitWait)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
}

// applyPermits applies the permits of a sync response to a request sent at the given time.
// A leader of an older release issues none.
func (e *entry) applyPermits(sent time.Time, resp *wire.SyncResponse) {
	hosts := int(resp.GetHosts())
	e.placer.SetFleet(permitter.Fleet{Hosts: hosts, SyncPeriod: syncPeriod(hosts)})
	e.placer.LearnBrittle(e.clock.Now().Sub(sent), decodeBrittleness(resp.GetBrittle()))
	if g := resp.GetPermits(); g != nil {
		e.placer.ApplyPermits(decodePermitGrant(g))
	}
}

// issuePermits answers the report of a host on servers with limits, or returns
// nil if this keeper has lost the lease. The caller holds mu.
func (n *keeperNode) issuePermits(now time.Time, host identifier.Host, r *wire.PermitReport) *wire.PermitGrant {
	lease, err := n.keeper.Load().Lease()
	if err != nil {
		return nil
	}
	n.enterTerm(lease.Fencing())
	return encodePermitGrant(n.permits.Exchange(now, host, decodePermitReport(r)))
}

// serviceLoads returns the loads of the services, with what the issuer of permits
// knows of limits. The caller holds mu.
func (n *keeperNode) serviceLoads(now time.Time, list *discoverer.Listing, services []describer.Service) map[identifier.Service]scaler.Load {
	limited := make(map[identifier.BackendServer]bool)
	for _, s := range n.permits.Limited() {
		limited[s.ID] = true
	}
	loads := n.loads.byService(now, list, limited)
	paces := n.paces.Paces(now)
	for i := range services {
		name := services[i].Name
		load := loads[name]
		load.Refused = n.permits.HasRefused(now, name) || n.places.HasRefused(now, name)
		load.Work = paces.Services[name].Work
		loads[name] = load
	}
	return loads
}

// encodeNotice converts a notice to protobuf.
func encodeNotice(n announcer.Notice) *wire.LimitNotice {
	return &wire.LimitNotice{AgeMillis: encodeMillis(n.Age), PerSecond: encodeAnnounced(n.Rate)}
}

// decodeNotice converts a notice from protobuf.
func decodeNotice(w *wire.LimitNotice) announcer.Notice {
	if w == nil {
		return announcer.Notice{}
	}
	return announcer.Notice{Age: decodeMillis(w.GetAgeMillis()), Rate: decodeAnnounced(w.PerSecond)}
}

// encodeOptionalNotice converts a notice, or nil, to protobuf.
func encodeOptionalNotice(n *announcer.Notice) *wire.LimitNotice {
	if n == nil {
		return nil
	}
	return encodeNotice(*n)
}

// decodeOptionalNotice converts a notice from protobuf; nil means that there is none.
func decodeOptionalNotice(w *wire.LimitNotice) *announcer.Notice {
	if w == nil {
		return nil
	}
	n := decodeNotice(w)
	return &n
}

// encodeAnnounced converts an announced rate to protobuf; nil means none.
func encodeAnnounced(r *identifier.RequestRate) *float64 {
	if r == nil {
		return nil
	}
	v := float64(*r)
	return &v
}

// decodeAnnounced converts an announced rate from protobuf; nil means none.
func decodeAnnounced(v *float64) *identifier.RequestRate {
	if v == nil {
		return nil
	}
	r := decodeRate(*v)
	return &r
}

// decodeRate converts a rate from a message. One that is no number or negative
// counts as 0.
func decodeRate(v float64) identifier.RequestRate {
	if !(v > 0) {
		return 0
	}
	return identifier.RequestRate(min(v, maxRate))
}

// maxRate is the highest rate of requests in a message, per second.
const maxRate = 1e6

// encodeWarmUp converts the warm-up of a server to protobuf.
func encodeWarmUp(w *permitter.WarmUp) *wire.WarmUpNotice {
	if w == nil {
		return nil
	}
	return &wire.WarmUpNotice{PerSecond: float64(w.Limit), LeftMillis: encodeMillis(w.Left)}
}

// decodeWarmUp converts the warm-up of a server from protobuf.
func decodeWarmUp(w *wire.WarmUpNotice) *permitter.WarmUp {
	if w == nil {
		return nil
	}
	return &permitter.WarmUp{Limit: decodeRate(w.GetPerSecond()), Left: decodeMillis(w.GetLeftMillis())}
}

// beginWarmUps passes the cold servers of a listing on to the issuer of permits. A
// server is cold for a little longer than the listing says, since that lags behind.
// The caller holds mu.
func (n *keeperNode) beginWarmUps(now time.Time, term identifier.FencingNumber, l *discoverer.Listing) {
	n.enterTerm(term)
	limits := n.coldLimits()
	began := 0
	for i := range l.Instances {
		in := &l.Instances[i]
		if limit := limits[in.Service]; limit > 0 && n.permits.BeginWarmUp(now, in.Run(), limit, now.Add(in.ColdFor)) {
			began++
		}
	}
	if began > 0 {
		n.log.Info("backend servers are cold", "servers", began)
	}
}

// encodePermitReport converts a report to protobuf.
func encodePermitReport(r permitter.Report) *wire.PermitReport {
	out := &wire.PermitReport{Grant: uint64(r.Grant)}
	for s, sr := range r.Servers {
		ws := &wire.ServerPermitReport{
			Server: string(s.ID), Incarnation: s.Incarnation, Service: string(sr.Service),
			Needed: uint32(sr.Needed), Wanted: uint32(sr.Wanted), Spent: uint32(sr.Spent),
			Notice: encodeOptionalNotice(sr.Notice), Told: encodeOptionalNotice(sr.Told), WarmUp: encodeWarmUp(sr.WarmUp),
		}
		out.Servers = append(out.Servers, ws)
	}
	return out
}

// decodePermitReport converts a report from protobuf.
func decodePermitReport(w *wire.PermitReport) permitter.Report {
	r := permitter.Report{Grant: permitter.GrantID(w.GetGrant()), Servers: make(map[identifier.ServerRun]permitter.ServerReport, len(w.GetServers()))}
	for _, ws := range w.GetServers() {
		r.Servers[serverRun(ws.GetServer(), ws.GetIncarnation())] = permitter.ServerReport{
			Service: identifier.Service(ws.GetService()),
			Needed:  int(ws.GetNeeded()), Wanted: int(ws.GetWanted()), Spent: int(ws.GetSpent()),
			Notice: decodeOptionalNotice(ws.GetNotice()), Told: decodeOptionalNotice(ws.GetTold()), WarmUp: decodeWarmUp(ws.GetWarmUp()),
		}
	}
	return r
}

// encodePermitGrant converts a grant to protobuf.
func encodePermitGrant(g permitter.Grant) *wire.PermitGrant {
	out := &wire.PermitGrant{Id: uint64(g.ID)}
	for s, sg := range g.Servers {
		out.Servers = append(out.Servers, &wire.ServerPermitGrant{
			Server: string(s.ID), Incarnation: s.Incarnation, Notice: encodeNotice(sg.Notice), Permits: uint32(sg.Permits), WaitMillis: encodeMillis(sg.Wait),
			WarmUp: encodeWarmUp(sg.WarmUp),
		})
	}
	return out
}

// decodePermitGrant converts a grant from protobuf.
func decodePermitGrant(w *wire.PermitGrant) permitter.Grant {
	g := permitter.Grant{ID: permitter.GrantID(w.GetId()), Servers: make(map[identifier.ServerRun]permitter.ServerGrant, len(w.GetServers()))}
	for _, ws := range w.GetServers() {
		s := serverRun(ws.GetServer(), ws.GetIncarnation())
		g.Servers[s] = permitter.ServerGrant{
			Notice: decodeNotice(ws.GetNotice()), Permits: int(ws.GetPermits()), Wait: decodeMillis(ws.GetWaitMillis()),
			WarmUp: decodeWarmUp(ws.GetWarmUp()),
		}
	}
	return g
}
