package node

import (
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/pacer"
)

// encodePaceReport writes what a host has measured of speeds into a sync request.
func encodePaceReport(req *wire.SyncRequest, r pacer.Report) {
	for _, s := range r.Servers {
		req.ServerPaces = append(req.ServerPaces, &wire.ServerPaceReport{
			Server: string(s.Server.ID), Incarnation: s.Server.Incarnation, Service: string(s.Service),
			LogSum: s.LogSum, Count: uint32(s.Count), Figure: s.Figure, AgeMillis: encodeMillis(s.Age),
		})
	}
	for _, s := range r.Services {
		req.ServicePaces = append(req.ServicePaces, &wire.ServicePaceReport{
			Service: string(s.Service), N: s.First.N, X: s.First.X, Y: s.First.Y, Xx: s.First.XX, Xy: s.First.XY,
			StepLogSum: s.StepLogSum, StepCount: uint32(s.StepCount), LongMillis: encodeMillis(s.Long), WorkMillis: encodeMillis(s.Work),
		})
	}
}

// decodePaceReport returns what a sync request says of speeds.
func decodePaceReport(req *wire.SyncRequest) pacer.Report {
	var r pacer.Report
	for _, w := range req.GetServerPaces() {
		r.Servers = append(r.Servers, pacer.ServerReport{
			Server:  serverRun(w.GetServer(), w.GetIncarnation()),
			Service: identifier.Service(w.GetService()), LogSum: w.GetLogSum(), Count: int(w.GetCount()),
			Figure: w.GetFigure(), Age: decodeMillis(w.GetAgeMillis()),
		})
	}
	for _, w := range req.GetServicePaces() {
		r.Services = append(r.Services, pacer.ServiceReport{
			Service: identifier.Service(w.GetService()), First: pacer.Sums{N: w.GetN(), X: w.GetX(), Y: w.GetY(), XX: w.GetXx(), XY: w.GetXy()},
			StepLogSum: w.GetStepLogSum(), StepCount: int(w.GetStepCount()), Long: decodeMillis(w.GetLongMillis()), Work: decodeMillis(w.GetWorkMillis()),
		})
	}
	return r
}

// pacesInterval is the time for which the encoded paces are sent to all hosts. Encoding
// them for each sync anew would take the leader of hundreds of hosts too long.
const pacesInterval = 50 * time.Millisecond

// encodedPaces are the paces as they were encoded last. They must not be changed.
type encodedPaces struct {
	at       time.Time
	servers  []*wire.ServerPace
	services []*wire.ServicePace
}

// addPaces writes the paces into a sync response. The caller holds mu.
func (n *keeperNode) addPaces(now time.Time, resp *wire.SyncResponse) {
	if e := &n.encodedPaces; e.at.IsZero() || now.Sub(e.at) >= pacesInterval {
		*e = encodePaces(n.paces.Paces(now))
		e.at = now
	}
	resp.ServerPaces, resp.ServicePaces = n.encodedPaces.servers, n.encodedPaces.services
}

// encodePaces converts paces to protobuf.
func encodePaces(p pacer.Paces) encodedPaces {
	var out encodedPaces
	for s, pace := range p.Servers {
		out.servers = append(out.servers, &wire.ServerPace{
			Server: string(s.ID), Incarnation: s.Incarnation, Ratio: float32(pace.Ratio), Figure: float32(pace.Figure), Mean: float32(pace.Mean), AgeMillis: encodeMillis(pace.Age),
		})
	}
	for s, sp := range p.Services {
		out.services = append(out.services, &wire.ServicePace{
			Service: string(s), FixedMillis: float64(sp.Fixed) / float64(time.Millisecond), Prefill: sp.Prefill, Step: sp.Step, LongWork: sp.LongWork,
		})
	}
	return out
}

// decodePaces returns the paces in a sync response.
func decodePaces(resp *wire.SyncResponse) pacer.Paces {
	p := pacer.Paces{
		Servers:  make(map[identifier.ServerRun]pacer.Pace, len(resp.GetServerPaces())),
		Services: make(map[identifier.Service]pacer.Service, len(resp.GetServicePaces())),
	}
	for _, w := range resp.GetServerPaces() {
		s := serverRun(w.GetServer(), w.GetIncarnation())
		p.Servers[s] = pacer.Pace{Ratio: float64(w.GetRatio()), Figure: float64(w.GetFigure()), Mean: float64(w.GetMean()), Age: decodeMillis(w.GetAgeMillis())}
	}
	for _, w := range resp.GetServicePaces() {
		p.Services[identifier.Service(w.GetService())] = pacer.Service{
			Fixed: time.Duration(w.GetFixedMillis() * float64(time.Millisecond)), Prefill: w.GetPrefill(), Step: w.GetStep(), LongWork: w.GetLongWork(),
		}
	}
	return p
}
