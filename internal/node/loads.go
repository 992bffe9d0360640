package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/placer"
	"cyclamenhub.org/scaler"
)

const (
	// loadsMaxAge is how long a host's report of its loads counts.
	loadsMaxAge = 1500 * time.Millisecond
	// loadsRefreshInterval is the minimum time between two searches for expired
	// reports and for the busiest backend servers.
	loadsRefreshInterval = 100 * time.Millisecond
	// maxSharedLoads is the number of backend servers, the busiest ones, for which
	// a host receives the other hosts' load. With 300 hosts and 3,000 backend
	// servers, sending all loads to every host four times a second takes the
	// leader more than one core.
	maxSharedLoads = 256
)

// loads is the load that the entry hosts put on backend servers. Its zero value
// is empty.
type loads struct {
	hosts map[identifier.Host]reportedLoads
	// total is the sum over all hosts, without servers that have no load.
	total map[identifier.BackendServer]placer.Load
	// busiest are the servers whose loads are shared, as of refreshed, if there
	// are more than maxSharedLoads; otherwise it is nil.
	busiest   []identifier.BackendServer
	refreshed time.Time
}

// reportedLoads is the report of one host.
type reportedLoads struct {
	at    time.Time
	loads map[identifier.BackendServer]placer.Load
}

// report replaces the loads of a host.
func (l *loads) report(now time.Time, host identifier.Host, r map[identifier.BackendServer]placer.Load) {
	if l.hosts == nil {
		l.hosts = make(map[identifier.Host]reportedLoads)
		l.total = make(map[identifier.BackendServer]placer.Load)
	}
	l.remove(host)
	l.hosts[host] = reportedLoads{now, r}
	for id, v := range r {
		l.setTotal(id, l.total[id].Plus(v))
	}
}

// remove removes the report of a host.
func (l *loads) remove(host identifier.Host) {
	for id, v := range l.hosts[host].loads {
		l.setTotal(id, l.total[id].Minus(v))
	}
	delete(l.hosts, host)
}

// setTotal sets the total load of a server.
func (l *loads) setTotal(id identifier.BackendServer, v placer.Load) {
	if v == (placer.Load{}) {
		delete(l.total, id)
		return
	}
	l.total[id] = v
}

// refresh removes expired reports and finds the busiest servers, at most once
// in loadsRefreshInterval.
func (l *loads) refresh(now time.Time) {
	if now.Sub(l.refreshed) < loadsRefreshInterval {
		return
	}
	l.refreshed = now
	for name, r := range l.hosts {
		if now.Sub(r.at) > loadsMaxAge {
			l.remove(name)
		}
	}
	l.busiest = nil
	if len(l.total) <= maxSharedLoads {
		return
	}
	for id := range l.total {
		l.busiest = append(l.busiest, id)
	}
	slices.SortFunc(l.busiest, func(a, b identifier.BackendServer) int {
		x, y := l.total[a], l.total[b]
		return cmp.Or(cmp.Compare(y.Running, x.Running), cmp.Compare(y.Unread, x.Unread), cmp.Compare(a, b))
	})
	l.busiest = l.busiest[:maxSharedLoads]
}

// others returns the load that all hosts but the given one put on the busiest
// servers.
func (l *loads) others(now time.Time, host identifier.Host) map[identifier.BackendServer]placer.Load {
	l.refresh(now)
	own := l.hosts[host].loads
	out := make(map[identifier.BackendServer]placer.Load, min(len(l.total), maxSharedLoads))
	ids := maps.Keys(l.total)
	if l.busiest != nil {
		ids = slices.Values(l.busiest)
	}
	for id := range ids {
		if v := l.total[id].Minus(own[id]); v != (placer.Load{}) {
			out[id] = v
		}
	}
	return out
}

// byService returns the load of each service. The given servers have announced
// limits.
func (l *loads) byService(now time.Time, list *discoverer.Listing, limited map[identifier.BackendServer]bool) map[identifier.Service]scaler.Load {
	l.refresh(now)
	out := make(map[identifier.Service]scaler.Load)
	if list == nil {
		return out
	}
	for i := range list.Instances {
		in := &list.Instances[i]
		load, running := out[in.Service], l.total[in.ID].Running
		load.Calls += running
		if limited[in.ID] {
			load.LimitedCalls += running
		}
		load.Limited = limited
		out[in.Service] = load
	}
	return out
}
