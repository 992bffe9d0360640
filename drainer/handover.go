package drainer

import (
	"context"
	"errors"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/drainer/wire"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/refuser"
)

// handOver freezes one request and hands it over to the first peer that accepts
// it. If none does, the request resumes on this host.
func (d *Drainer) handOver(ctx context.Context, id identifier.RequestID) {
	h, ok := d.opt.Dispatcher.Freeze(ctx, id)
	if !ok {
		d.enqueue(HandoverEnded{Request: id})
		return
	}
	host, ok := d.offer(ctx, h)
	if !ok {
		d.failed.Inc()
		d.opt.Dispatcher.Thaw(id, h.Epoch)
		d.enqueue(HandoverEnded{Request: id, Failed: true})
		return
	}
	d.handedOver.Inc()
	d.opt.Dispatcher.HandedOver(id, host.Name, h.Epoch, &remoteRequest{d: d, host: host, customer: h.Request.Customer, id: id})
	d.enqueue(HandoverEnded{Request: id})
}

// offer offers h to the peers in turn and returns the one that acknowledged. If
// the answer of a peer was lost, that peer may own the request; offer therefore
// increments the epoch before it tries the next peer.
func (d *Drainer) offer(ctx context.Context, h *dispatcher.Handover) (configurer.HostAddress, bool) {
	for _, p := range d.handoverCandidates() {
		req := d.encode(h)
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := d.opt.Call(callCtx, p.Address, takeMethod, req, &wire.TakeResponse{})
		cancel()
		if err == nil {
			return p, true
		}
		if mayHaveTaken(err) {
			h.Epoch++
		}
		if ctx.Err() != nil {
			break
		}
	}
	return configurer.HostAddress{}, false
}

// mayHaveTaken reports whether the peer may own the request although the call
// returned err.
func mayHaveTaken(err error) bool {
	var f *refuser.Refusal
	if errors.As(err, &f) {
		return false
	}
	var u *messenger.UnreachableError
	return !errors.As(err, &u) || !u.NotSent
}

// reportUnknown reports to a peer that the outcome of a non-idempotent request
// is unknown because this host left before the request ended.
func (d *Drainer) reportUnknown(ctx context.Context, id identifier.RequestID) {
	h, ok := d.opt.Dispatcher.Describe(id)
	if !ok {
		return
	}
	h.Final = refuser.MayHaveRun(refuser.Unknown, "the host was reclaimed before the answer came, so that it may have run",
		"look at the service whether it ran before sending it anew")
	if _, ok := d.offer(ctx, h); ok {
		d.unknownSent.Inc()
	}
}
