package drainer

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/drainer/wire"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/refuser"
)

// The methods of the calls between drainers.
const (
	takeMethod    messenger.Method = "drainer.take"
	findMethod    messenger.Method = "drainer.find"
	nextMethod    messenger.Method = "drainer.next"
	leavingMethod messenger.Method = "drainer.leaving"
)

const (
	// nextWait is how long the owner may wait for new events before it answers.
	nextWait = 500 * time.Millisecond
	// maxNextWait bounds the wait that a peer may request.
	maxNextWait = 5 * time.Second
	// maxSearches bounds how often Next searches for the owner again.
	maxSearches = 5
)

// errOwnerUnreachable means that no reachable host owns the request.
var errOwnerUnreachable = errors.New("the owner of the request is not reachable: come back with the request id, or send the request anew")

// registrar registers the handlers of calls, as messenger.Messenger does.
type registrar interface {
	Handle(method messenger.Method, h messenger.Handler)
}

// Register registers the handlers of the calls between drainers with m. It must
// be called before the messenger serves.
func (d *Drainer) Register(m registrar) {
	for _, method := range []messenger.Method{takeMethod, findMethod, nextMethod, leavingMethod} {
		m.Handle(method, func(ctx context.Context, c *messenger.Call) (proto.Message, error) {
			return d.handleCall(ctx, method, c.Decode)
		})
	}
}

// handleCall handles one call of another drainer.
func (d *Drainer) handleCall(ctx context.Context, method messenger.Method, decode func(proto.Message) error) (proto.Message, error) {
	switch method {
	case takeMethod:
		var req wire.TakeRequest
		if err := decode(&req); err != nil {
			return nil, err
		}
		return &wire.TakeResponse{}, d.handleTake(&req)
	case findMethod:
		var req wire.FindRequest
		if err := decode(&req); err != nil {
			return nil, err
		}
		return d.handleFind(&req)
	case nextMethod:
		var req wire.NextRequest
		if err := decode(&req); err != nil {
			return nil, err
		}
		return d.handleNext(ctx, &req)
	default:
		var req wire.LeavingNotice
		if err := decode(&req); err != nil {
			return nil, err
		}
		d.handleLeaving(&req)
		return &wire.LeavingResponse{}, nil
	}
}

// handleTake adopts a request of another host, or records its unknown outcome.
// It refuses if this host is leaving too.
func (d *Drainer) handleTake(req *wire.TakeRequest) error {
	if d.Leaving() {
		return refuser.NotRun(refuser.Stopping, "this host leaves too", "hand the request to another host")
	}
	h, err := d.decode(req)
	if err != nil {
		return err
	}
	taken, refusal := d.opt.Dispatcher.Adopt(h)
	if refusal != nil {
		return refusal
	}
	switch {
	case h.Final != nil:
		d.unknownReceived.Inc()
	case taken:
		d.taken.Inc()
	}
	return nil
}

// handleFind returns the status of a request if this host has it and has not
// handed it over.
func (d *Drainer) handleFind(req *wire.FindRequest) (*wire.FindResponse, error) {
	_, s, ok := d.opt.Dispatcher.Find(identifier.Customer(req.Customer), identifier.RequestID(req.RequestId))
	if !ok || s.State == dispatcher.Moved {
		return &wire.FindResponse{}, nil
	}
	b, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return &wire.FindResponse{Found: true, Epoch: s.Epoch, Status: b}, nil
}

// handleNext returns the events of a request that follow event req.After. It
// waits for new events, at most maxNextWait.
func (d *Drainer) handleNext(ctx context.Context, req *wire.NextRequest) (*wire.NextResponse, error) {
	r, _, ok := d.opt.Dispatcher.Find(identifier.Customer(req.Customer), identifier.RequestID(req.RequestId))
	if !ok {
		return nil, refuser.MayHaveRun(refuser.NotFound, "the request is not known here", "look for its owner")
	}
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, maxNextWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	u, err := r.Next(ctx, int(req.After))
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return nil, err
	}
	return encodeUpdate(u)
}

// handleLeaving handles the notice of another host that a backend server or
// that host leaves.
func (d *Drainer) handleLeaving(n *wire.LeavingNotice) {
	remaining := time.Duration(n.RemainingMs) * time.Millisecond
	if n.BackendServer != "" {
		now := d.opt.Clock.Now()
		d.enqueue(ServerLeaves{Server: identifier.BackendServer(n.BackendServer), At: now, Deadline: now.Add(remaining), Forwarded: true})
	}
	if n.Host != "" {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.leavingHosts[identifier.Host(n.Host)] = d.opt.Clock.Now().Add(remaining)
	}
}

// notifyHosts notifies all other hosts that a backend server or this host
// leaves. It logs failed calls and does not retry them.
func (d *Drainer) notifyHosts(x NotifyHosts) {
	n := &wire.LeavingNotice{BackendServer: string(x.Server), RemainingMs: x.Remaining.Milliseconds()}
	if x.Server == "" {
		n.Host = string(d.opt.Self.Name)
	}
	for _, p := range d.otherHosts() {
		d.work.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			if err := d.opt.Call(ctx, p.Address, leavingMethod, n, &wire.LeavingResponse{}); err != nil {
				d.opt.Log.Warn("leaving notice not delivered", "host", string(p.Name), "error", err)
			}
		})
	}
}

// otherHosts returns the other hosts, those in this host's failure domain
// first.
func (d *Drainer) otherHosts() []configurer.HostAddress {
	var own, rest []configurer.HostAddress
	for _, h := range d.opt.Hosts {
		switch {
		case h.Name == d.opt.Self.Name:
		case h.FailureDomain == d.opt.Self.FailureDomain:
			own = append(own, h)
		default:
			rest = append(rest, h)
		}
	}
	return append(own, rest...)
}

// handoverCandidates returns the hosts that may take over a request, in the
// order in which to try them: those in this host's failure domain first, and in
// round-robin order within each group. It omits leaving hosts.
func (d *Drainer) handoverCandidates() []configurer.HostAddress {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotation++
	now := d.opt.Clock.Now()
	var own, rest []configurer.HostAddress
	for _, h := range d.otherHosts() {
		switch {
		case now.Before(d.leavingHosts[h.Name]):
		case h.FailureDomain == d.opt.Self.FailureDomain:
			own = append(own, h)
		default:
			rest = append(rest, h)
		}
	}
	return append(rotated(own, d.rotation), rotated(rest, d.rotation)...)
}

// rotated returns a copy of list rotated to begin with element n modulo its
// length.
func rotated(list []configurer.HostAddress, n int) []configurer.HostAddress {
	if len(list) == 0 {
		return nil
	}
	n %= len(list)
	return append(append([]configurer.HostAddress{}, list[n:]...), list[:n]...)
}

// Find queries the other hosts for a customer's request and returns it at its
// owner, which is the host with the highest epoch. It returns false if no
// reachable host has the request.
func (d *Drainer) Find(ctx context.Context, customer identifier.Customer, id identifier.RequestID) (dispatcher.Remote, dispatcher.Status, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		best   *remoteRequest
		status dispatcher.Status
	)
	for _, h := range d.otherHosts() {
		wg.Go(func() {
			s, ok := d.findAt(ctx, h, customer, id)
			mu.Lock()
			defer mu.Unlock()
			if ok && (best == nil || s.Epoch > status.Epoch) {
				best = &remoteRequest{d: d, host: h, customer: customer, id: id}
				status = s
			}
		})
	}
	wg.Wait()
	if best == nil {
		return nil, dispatcher.Status{}, false
	}
	return best, status, true
}

// findAt queries host h for the status of a request. It returns false if h does
// not have the request or does not answer.
func (d *Drainer) findAt(ctx context.Context, h configurer.HostAddress, customer identifier.Customer, id identifier.RequestID) (dispatcher.Status, bool) {
	var resp wire.FindResponse
	var s dispatcher.Status
	req := &wire.FindRequest{Customer: string(customer), RequestId: string(id)}
	if err := d.opt.Call(ctx, h.Address, findMethod, req, &resp); err != nil || !resp.Found {
		return s, false
	}
	return s, json.Unmarshal(resp.Status, &s) == nil
}

// remoteRequest is a request that another host owns.
type remoteRequest struct {
	d        *Drainer
	host     configurer.HostAddress
	customer identifier.Customer
	id       identifier.RequestID
}

// Next returns the update that follows event n. If the request has moved or its
// owner does not answer, Next searches for the new owner. It returns
// errOwnerUnreachable if it finds none.
func (r *remoteRequest) Next(ctx context.Context, n int) (dispatcher.Update, error) {
	for searches := 0; searches < maxSearches; {
		u, err := r.fetch(ctx, n)
		switch {
		case ctx.Err() != nil:
			return u, ctx.Err()
		case err == nil && u.State == dispatcher.Running && len(u.Payloads) == 0:
		case err == nil && u.State != dispatcher.Moved:
			return u, nil
		default:
			searches++
			if !r.findOwner(ctx) {
				return u, errOwnerUnreachable
			}
		}
	}
	return dispatcher.Update{}, errOwnerUnreachable
}

// fetch requests from the owner, once, the update that follows event n.
func (r *remoteRequest) fetch(ctx context.Context, n int) (dispatcher.Update, error) {
	ctx, cancel := context.WithTimeout(ctx, nextWait+callTimeout)
	defer cancel()
	var resp wire.NextResponse
	err := r.d.opt.Call(ctx, r.host.Address, nextMethod, &wire.NextRequest{
		Customer: string(r.customer), RequestId: string(r.id), After: int64(n), WaitMs: nextWait.Milliseconds(),
	}, &resp)
	if err != nil {
		return dispatcher.Update{}, err
	}
	return decodeUpdate(&resp)
}

// findOwner searches for the owner again and reports whether it found one.
func (r *remoteRequest) findOwner(ctx context.Context) bool {
	found, _, ok := r.d.Find(ctx, r.customer, r.id)
	if !ok {
		return false
	}
	r.host = found.(*remoteRequest).host
	return true
}
