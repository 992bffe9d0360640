package node

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/placer"
)

const (
	// loadsFor is how long a host's report of what it has at work holds.
	loadsFor = 1500 * time.Millisecond
	// loadsLook is the time between two looks for hosts that are silent and for the
	// busiest backend servers.
	loadsLook = 100 * time.Millisecond
	// mostTold is of how many backend servers a host is told what others have at
	// work there: the busiest. With 300 hosts and 3,000 backend servers the leader
	// could tell each of all four times a second only with more than a core.
	mostTold = 256
)

// loads is what the entry hosts have at work at backend servers. Its zero value
// is empty.
type loads struct {
	hosts map[identifier.Host]reportedLoads
	// total is the sum over all hosts, without servers at which nothing is at work.
	total map[identifier.BackendServer]placer.Load
	// busiest are the servers that hosts are told of, as of looked, where there are
	// more than mostTold; nil otherwise.
	busiest []identifier.BackendServer
	looked  time.Time
}

// reportedLoads is one host's report.
type reportedLoads struct {
	at    time.Time
	loads map[identifier.BackendServer]placer.Load
}

// report takes in what a host has at work.
func (l *loads) report(now time.Time, host identifier.Host, r map[identifier.BackendServer]placer.Load) {
	if l.hosts == nil {
		l.hosts = make(map[identifier.Host]reportedLoads)
		l.total = make(map[identifier.BackendServer]placer.Load)
	}
	l.remove(host)
	l.hosts[host] = reportedLoads{now, r}
	for id, v := range r {
		l.set(id, l.total[id].Plus(v))
	}
}

// remove forgets the report of a host.
func (l *loads) remove(host identifier.Host) {
	for id, v := range l.hosts[host].loads {
		l.set(id, l.total[id].Minus(v))
	}
	delete(l.hosts, host)
}

// set sets what is at work at a server.
func (l *loads) set(id identifier.BackendServer, v placer.Load) {
	if v == (placer.Load{}) {
		delete(l.total, id)
		return
	}
	l.total[id] = v
}

// look forgets hosts that are silent and finds the busiest servers, from time to
// time.
func (l *loads) look(now time.Time) {
	if now.Sub(l.looked) < loadsLook {
		return
	}
	l.looked = now
	for name, r := range l.hosts {
		if now.Sub(r.at) > loadsFor {
			l.remove(name)
		}
	}
	l.busiest = nil
	if len(l.total) <= mostTold {
		return
	}
	for id := range l.total {
		l.busiest = append(l.busiest, id)
	}
	slices.SortFunc(l.busiest, func(a, b identifier.BackendServer) int {
		x, y := l.total[a], l.total[b]
		return cmp.Or(cmp.Compare(y.Running, x.Running), cmp.Compare(y.Unread, x.Unread), cmp.Compare(a, b))
	})
	l.busiest = l.busiest[:mostTold]
}

// others returns what all hosts but one have at work, at the busiest servers.
func (l *loads) others(now time.Time, host identifier.Host) map[identifier.BackendServer]placer.Load {
	l.look(now)
	own := l.hosts[host].loads
	out := make(map[identifier.BackendServer]placer.Load, min(len(l.total), mostTold))
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

// byService returns the calls at work at each service.
func (l *loads) byService(now time.Time, list *discoverer.Listing) map[identifier.Service]int {
	l.look(now)
	out := make(map[identifier.Service]int)
	if list == nil {
		return out
	}
	for i := range list.Instances {
		in := &list.Instances[i]
		out[in.Service] += l.total[in.ID].Running
	}
	return out
}
