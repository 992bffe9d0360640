package node

import (
	"time"

	"cyclamenhub.org/discoverer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/placer"
)

// loadsFor is how long a host's report of what it has at work holds.
const loadsFor = 1500 * time.Millisecond

// loads is what the entry hosts have at work at backend servers. Its zero value
// is empty.
type loads struct {
	hosts map[identifier.Host]reportedLoads
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
	}
	l.hosts[host] = reportedLoads{now, r}
}

// others returns what all hosts but one have at work.
func (l *loads) others(now time.Time, host identifier.Host) map[identifier.BackendServer]placer.Load {
	out := make(map[identifier.BackendServer]placer.Load)
	for name, r := range l.hosts {
		switch {
		case now.Sub(r.at) > loadsFor:
			delete(l.hosts, name)
		case name != host:
			for id, v := range r.loads {
				out[id] = out[id].Plus(v)
			}
		}
	}
	return out
}

// byService returns the calls at work at each service.
func (l *loads) byService(now time.Time, list *discoverer.Listing) map[identifier.Service]int {
	total := l.others(now, "")
	out := make(map[identifier.Service]int)
	if list == nil {
		return out
	}
	for i := range list.Instances {
		in := &list.Instances[i]
		out[in.Service] += total[in.ID].Running
	}
	return out
}
