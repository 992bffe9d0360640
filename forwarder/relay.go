package forwarder

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/connector"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/relayer"
	"cyclamenhub.org/timer"
)

const (
	// reachInterval is the time between two checks of which backend servers are to
	// be probed.
	reachInterval = 100 * time.Millisecond
	// maxPeersPerCall is the number of peers that one call is sent to.
	maxPeersPerCall = 2
	// relayMargin is how much longer than the call a host waits for its peer, which
	// answers at the deadline itself.
	relayMargin = 200 * time.Millisecond
	// maxRelayedCalls bounds the calls that a host serves for others at a time. Its own
	// callers keep most of its memory and processor time.
	maxRelayedCalls = 256
)

// RunReach finds out whether this host reaches the backend servers, until ctx ends.
func (f *Forwarder) RunReach(ctx context.Context) {
	timer.Repeat(ctx, reachInterval, func() time.Duration {
		f.pulse.beat(f.opts.Clock.Now())
		if fl := f.fleet.Load(); fl != nil {
			for _, p := range f.opts.Reach.Due(fl.open) {
				go f.probe(ctx, p, fl.servers[p.Server].Address)
			}
		}
		return reachInterval
	})
}

// probe opens a connection to a backend server and records whether that succeeded.
func (f *Forwarder) probe(ctx context.Context, p relayer.Probe, address string) {
	probesTotal.Inc()
	if f.opts.Reach.Probed(p, f.opts.Pool.Warm(ctx, address)) {
		f.reachChanged(p.Service)
	}
}

// reachChanged acts on a change of whether this host reaches a service. Connections from
// before are closed: each of them would cost a call that may not be repeated.
func (f *Forwarder) reachChanged(s identifier.Service) {
	isCut := f.opts.Reach.IsCut(s)
	f.opts.Log.Warn("reach of backend servers changed", "service", s, "cutOff", isCut, "peers", len(f.opts.Peers(s)))
	if fl := f.fleet.Load(); isCut && fl != nil {
		for _, in := range fl.servers {
			if in.Service == s {
				f.opts.Pool.CloseIdle(in.Address)
			}
		}
	}
	f.opts.ReachChanged()
}

// PeerHandler returns the handler of calls that other hosts relay to this one. It relays
// none of them.
func (f *Forwarder) PeerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := f.relayed.Add(1)
		defer f.relayed.Add(-1)
		x := f.newExchange(w, r)
		x.isRelayed = true
		if n > maxRelayedCalls {
			defer x.logCall()
			x.refuse(refuseNotRun("this host serves enough calls of other hosts"))
			return
		}
		x.serve()
	})
}

// relay sends the call to hosts that reach its service, if this one does not, and reports
// whether the call has ended with that. A call that may have run is not relayed.
func (x *exchange) relay() bool {
	if x.runs > 0 || !x.f.opts.Reach.IsCut(x.service) {
		return false
	}
	if x.isRelayed {
		x.fail("this host does not reach the service either")
		return true
	}
	peers := x.f.opts.Peers(x.service)
	first := rand.IntN(max(len(peers), 1))
	var refusal *bufferedResponse
	for i := range min(len(peers), maxPeersPerCall) {
		peer := peers[(first+i)%len(peers)]
		var end relayEnd
		end, refusal = x.relayTo(peer, refusal)
		switch end {
		case relayEnded:
			return true
		case relayLost:
			x.runs++
			x.fail("the connection to the peer broke")
			return true
		}
	}
	if refusal == nil {
		return false // No peer was reached. The belief that this host is cut off may be out of date.
	}
	x.refundCost()
	x.writeResponse(refusal)
	return true
}

// relayEnd is how a try to relay a call ended.
type relayEnd uint8

const (
	// relayNotRun: the peer was not reached, or refused the call.
	relayNotRun relayEnd = iota
	// relayEnded: the caller has its answer.
	relayEnded
	// relayLost: there is no answer, and the call may have run.
	relayLost
)

// relayTo sends the call to a peer and relays its answer. If the peer refuses the call
// and another one may take it, relayTo returns the refusal, otherwise the given one.
func (x *exchange) relayTo(peer identifier.Host, before *bufferedResponse) (relayEnd, *bufferedResponse) {
	ctx, cancel := context.WithDeadline(x.r.Context(), x.deadline.Add(relayMargin))
	defer cancel()
	defer context.AfterFunc(x.f.ending, cancel)()
	conn, err := x.f.opts.PeerPool.Open(ctx, x.f.opts.PeerAddress(peer), x.peerReuse())
	if err != nil {
		x.logRelay(peer, err)
		return relayNotRun, before
	}
	x.peer = peer
	res, err := conn.Send(ctx, x.relayedMessage(), connector.Limits{Deadline: x.deadline.Add(relayMargin)})
	if err != nil {
		conn.Close()
		x.logRelay(peer, err)
		var ce *connector.Error
		if errors.As(err, &ce) && !ce.Sent {
			return relayNotRun, before
		}
		return x.relayBroke(), before
	}
	x.recordRelayed(res)
	if x.isStream(res) {
		return x.passStream(conn, res), before
	}
	body, taken, err := x.f.bodies.read(res.Body)
	x.heldBytes += taken
	if err != nil || !res.Delimited {
		conn.Close()
		x.logRelay(peer, err)
		return x.relayBroke(), before
	}
	answer := &bufferedResponse{status: res.Status, header: endToEndHeader(res.Header), body: body}
	x.f.opts.PeerPool.Release(conn)
	if res.Status == http.StatusServiceUnavailable {
		return relayNotRun, answer
	}
	x.refundCost()
	relayedTotal.Inc()
	x.writeResponse(answer)
	return relayEnded, before
}

// peerReuse returns which connection to a peer the call may use. One that was used before
// may have been closed by then, and a call that may run once would be lost with it.
func (x *exchange) peerReuse() connector.Reuse {
	if x.route.MayRepeat() {
		return connector.Pooled
	}
	return connector.Fresh
}

// relayedMessage returns the call as it is sent to a peer: as the caller sent it, with
// what is left of its time.
func (x *exchange) relayedMessage() *connector.Message {
	return &connector.Message{
		Method: x.call.method, Target: x.call.target, Host: x.call.host,
		Header: x.f.opts.Codec.Relay(x.r.Header, x.deadline.Sub(x.f.opts.Clock.Now())), Body: x.call.body.parts,
	}
}

// relayBroke returns the end of a call whose connection to its peer broke after the call
// was sent.
func (x *exchange) relayBroke() relayEnd {
	if x.r.Context().Err() == nil {
		return relayLost
	}
	x.status, x.reason = 0, "the caller left"
	panic(http.ErrAbortHandler)
}

// passStream passes a peer's stream to the caller as its bytes arrive.
func (x *exchange) passStream(conn *connector.Conn, res *connector.Response) relayEnd {
	x.refundCost()
	relayedTotal.Inc()
	x.writeStreamHeader(res)
	buf := make([]byte, readBytes)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			if _, werr := x.w.Write(buf[:n]); werr != nil || http.NewResponseController(x.w).Flush() != nil {
				conn.Close()
				x.reason = "the caller left"
				panic(http.ErrAbortHandler)
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && res.Delimited:
			_ = http.NewResponseController(x.w).SetWriteDeadline(time.Time{})
			x.f.opts.PeerPool.Release(conn)
			return relayEnded
		default:
			conn.Close()
			return x.relayBroke()
		}
	}
}

// logRelay logs why a peer did not answer.
func (x *exchange) logRelay(peer identifier.Host, err error) {
	x.f.opts.Log.LogAttrs(x.r.Context(), slog.LevelInfo, "relay failed",
		slog.String("id", string(x.call.ID)), slog.String("peer", string(peer)), slog.Any("why", err))
}

// recordReach tells what an attempt showed of the connections to backend servers.
func recordReach(a *relayer.Attempt, err error) {
	switch {
	case err == nil:
		a.Answered()
	case isConnectionLoss(err):
		a.Failed()
	default:
		a.End()
	}
}

// openServers returns the servers that accept new work, by service.
func openServers(servers map[identifier.BackendServer]describer.Instance) map[identifier.Service][]identifier.BackendServer {
	out := make(map[identifier.Service][]identifier.BackendServer)
	for id, in := range servers {
		if !in.Draining {
			out[in.Service] = append(out[in.Service], id)
		}
	}
	return out
}

var (
	relayedTotal = metrics.NewCounter("cyclamen_forwarder_relayed_total")
	probesTotal  = metrics.NewCounter("cyclamen_forwarder_reach_probes_total")
)
