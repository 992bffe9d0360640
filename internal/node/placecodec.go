package node

import (
	"cyclamenhub.org/announcer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/reserver"
)

// maxPlaceCount bounds the numbers of places and calls in messages.
const maxPlaceCount = 1 << 20

// encodeCount converts a number of places or calls to protobuf.
func encodeCount(n int) uint32 { return uint32(min(max(n, 0), maxPlaceCount)) }

// decodeCount converts a number of places or calls from protobuf.
func decodeCount(n uint32) int { return int(min(n, maxPlaceCount)) }

// encodeBrittleNotice writes a notice into a message.
func encodeBrittleNotice(w *wire.ServiceBrittleness, n *announcer.Notice) {
	if n == nil {
		return
	}
	w.Notice, w.AgeMillis, w.Refusals = true, encodeMillis(n.Age), encodeAnnounced(n.Rate)
}

// decodeBrittleNotice returns the notice in a message, or nil.
func decodeBrittleNotice(w *wire.ServiceBrittleness) *announcer.Notice {
	if !w.GetNotice() {
		return nil
	}
	return &announcer.Notice{Age: decodeMillis(w.GetAgeMillis()), Rate: decodeAnnounced(w.Refusals)}
}

// encodeBrittleness converts what the leader knows of services to protobuf.
func encodeBrittleness(services map[identifier.Service]reserver.ServiceGrant) []*wire.ServiceBrittleness {
	var out []*wire.ServiceBrittleness
	for name, s := range services {
		w := &wire.ServiceBrittleness{
			Service: string(name), BrittleForMillis: encodeMillis(s.BrittleFor), Settled: s.Settled, Scarce: s.Scarce, WaitMillis: encodeMillis(s.Wait),
		}
		encodeBrittleNotice(w, &s.Notice)
		out = append(out, w)
	}
	return out
}

// decodeBrittleness converts what the leader knows of services from protobuf.
func decodeBrittleness(services []*wire.ServiceBrittleness) map[identifier.Service]reserver.ServiceGrant {
	if len(services) == 0 {
		return nil
	}
	out := make(map[identifier.Service]reserver.ServiceGrant, len(services))
	for _, w := range services {
		if n := decodeBrittleNotice(w); n != nil {
			out[identifier.Service(w.GetService())] = reserver.ServiceGrant{
				Notice: *n, BrittleFor: decodeMillis(w.GetBrittleForMillis()), Settled: w.GetSettled(), Scarce: w.GetScarce(), Wait: decodeMillis(w.GetWaitMillis()),
			}
		}
	}
	return out
}

// encodePlaceReport converts a report to protobuf.
func encodePlaceReport(r reserver.Report) *wire.PlaceReport {
	out := &wire.PlaceReport{Run: r.Run, Sequence: r.Sequence, Hosts: encodeCount(r.Hosts)}
	for name, s := range r.Services {
		w := &wire.ServiceBrittleness{Service: string(name), BrittleForMillis: encodeMillis(s.BrittleFor), Told: encodeOptionalNotice(s.Told)}
		encodeBrittleNotice(w, s.Notice)
		out.Services = append(out.Services, w)
	}
	for run, s := range r.Servers {
		out.Servers = append(out.Servers, &wire.ServerPlaceReport{
			Server: string(run.ID), Incarnation: run.Incarnation, Service: string(s.Service),
			Places: encodeCount(s.Places), Held: encodeCount(s.Held), Used: encodeCount(s.Used), Refused: encodeCount(s.Refused),
		})
	}
	for _, n := range r.Needs {
		w := &wire.PlaceNeed{Service: string(n.Pool.Service), Version: string(n.Pool.Version), Calls: encodeCount(n.Calls), Turned: encodeCount(n.Turned)}
		for _, c := range n.Candidates {
			w.Candidates = append(w.Candidates, &wire.PlaceCandidate{Server: string(c.Run.ID), Incarnation: c.Run.Incarnation, Places: encodeCount(c.Places)})
		}
		out.Needs = append(out.Needs, w)
	}
	return out
}

// decodePlaceReport converts a report from protobuf.
func decodePlaceReport(w *wire.PlaceReport) reserver.Report {
	r := reserver.Report{
		Run: w.GetRun(), Sequence: w.GetSequence(), Hosts: decodeCount(w.GetHosts()),
		Services: make(map[identifier.Service]reserver.ServiceReport, len(w.GetServices())),
		Servers:  make(map[identifier.ServerRun]reserver.ServerReport, len(w.GetServers())),
	}
	for _, s := range w.GetServices() {
		r.Services[identifier.Service(s.GetService())] = reserver.ServiceReport{
			Notice: decodeBrittleNotice(s), Told: decodeOptionalNotice(s.GetTold()), BrittleFor: decodeMillis(s.GetBrittleForMillis()),
		}
	}
	for _, s := range w.GetServers() {
		r.Servers[serverRun(s.GetServer(), s.GetIncarnation())] = reserver.ServerReport{
			Service: identifier.Service(s.GetService()), Places: decodeCount(s.GetPlaces()),
			Held: decodeCount(s.GetHeld()), Used: decodeCount(s.GetUsed()), Refused: decodeCount(s.GetRefused()),
		}
	}
	for _, n := range w.GetNeeds() {
		pool := reserver.Pool{Service: identifier.Service(n.GetService()), Version: identifier.Version(n.GetVersion())}
		need := reserver.Need{Pool: pool, Calls: decodeCount(n.GetCalls()), Turned: decodeCount(n.GetTurned())}
		for _, c := range n.GetCandidates() {
			need.Candidates = append(need.Candidates, reserver.Server{
				Run: serverRun(c.GetServer(), c.GetIncarnation()), Service: pool.Service, Places: decodeCount(c.GetPlaces()),
			})
		}
		r.Needs = append(r.Needs, need)
	}
	return r
}

// encodePlaceGrant converts a grant to protobuf.
func encodePlaceGrant(g reserver.Grant) *wire.PlaceGrant {
	out := &wire.PlaceGrant{Sequence: g.Sequence, Services: encodeBrittleness(g.Services)}
	for run, s := range g.Servers {
		out.Servers = append(out.Servers, &wire.ServerPlaceGrant{
			Server: string(run.ID), Incarnation: run.Incarnation, Issued: encodeCount(s.Issued), Taken: encodeCount(s.Taken),
		})
	}
	return out
}

// decodePlaceGrant converts a grant from protobuf.
func decodePlaceGrant(w *wire.PlaceGrant) reserver.Grant {
	g := reserver.Grant{
		Sequence: w.GetSequence(), Services: decodeBrittleness(w.GetServices()), Servers: make(map[identifier.ServerRun]reserver.ServerGrant, len(w.GetServers())),
	}
	for _, s := range w.GetServers() {
		g.Servers[serverRun(s.GetServer(), s.GetIncarnation())] = reserver.ServerGrant{Issued: decodeCount(s.GetIssued()), Taken: decodeCount(s.GetTaken())}
	}
	return g
}
