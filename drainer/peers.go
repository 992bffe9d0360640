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

// The calls between drainers.
const (
	takeMethod    messenger.Method = "drainer.take"
	findMethod    messenger.Method = "drainer.find"
	nextMethod    messenger.Method = "drainer.next"
	leavingMethod messenger.Method = "drainer.leaving"
)

const (
	// nextWait is how long an owner may wait for something new.
	nextWait = 500 * time.Millisecond
	// maxNextWait bounds what a peer may ask for.
	maxNextWait = 5 * time.Second
	// moveRounds bounds how often a moved request is looked for anew.
	moveRounds = 5
)

// errOwnerLost reports a request whose owner cannot be found.
var errOwnerLost = errors.New("the owner of the request is not reachable: come back with the request id, or send the request anew")

// registrar takes the handlers of calls, as messenger.Messenger does.
type registrar interface {
	Handle(method messenger.Method, h messenger.Handler)
}

// Register sets the handlers of the calls between drainers. It must be called
// before the messenger serves.
func (d *Drainer) Register(m registrar) {
	for _, method := range []messenger.Method{takeMethod, findMethod, nextMethod, leavingMethod} {
		m.Handle(method, func(ctx context.Context, c *messenger.Call) (proto.Message, error) {
			return d.answer(ctx, method, c.Decode)
		})
	}
}

// answer answers one call of another drainer.
func (d *Drainer) answer(ctx context.Context, method messenger.Method, decode func(proto.Message) error) (proto.Message, error) {
	switch method {
	case takeMethod:
		var req wire.TakeRequest
		if err := decode(&req); err != nil {
			return nil, err
		}
		return &wire.TakeResponse{}, d.take(&req)
	case findMethod:
		var req wire.FindRequest
		if err := decode(&req); err != nil {
			return nil, err
		}
		return d.found(&req)
	case nextMethod:
		var req wire.NextRequest
		if err := decode(&req); err != nil {
			return nil, err
		}
		return d.serveNext(ctx, &req)
	default:
		var req wire.LeavingNotice
		if err := decode(&req); err != nil {
			return nil, err
		}
		d.hear(&req)
		return &wire.LeavingResponse{}, nil
	}
}

// take goes on with a request of another host.
func (d *Drainer) take(req *wire.TakeRequest) error {
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
		d.told.Inc()
	case taken:
		d.taken.Inc()
	}
	return nil
}

// found answers whether this host knows a request.
func (d *Drainer) found(req *wire.FindRequest) (*wire.FindResponse, error) {
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

// serveNext answers with what follows an event.
func (d *Drainer) serveNext(ctx context.Context, req *wire.NextRequest) (*wire.NextResponse, error) {
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

// hear takes in that a backend server or host leaves.
func (d *Drainer) hear(n *wire.LeavingNotice) {
	left := time.Duration(n.RemainingMs) * time.Millisecond
	if n.BackendServer != "" {
		now := d.opt.Clock.Now()
		d.put(ServerLeaves{Server: identifier.BackendServer(n.BackendServer), At: now, Deadline: now.Add(left), Heard: true})
	}
	if n.Host != "" {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.gone[identifier.Host(n.Host)] = d.opt.Clock.Now().Add(left)
	}
}

// tellHosts tells all other hosts, as far as they can be reached, what leaves.
func (d *Drainer) tellHosts(x Tell) {
	n := &wire.LeavingNotice{BackendServer: string(x.Server), RemainingMs: x.Left.Milliseconds()}
	if x.Server == "" {
		n.Host = string(d.opt.Self.Name)
	}
	for _, p := range d.others() {
		d.work.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			if err := d.opt.Call(ctx, p.Address, leavingMethod, n, &wire.LeavingResponse{}); err != nil {
				d.opt.Log.Warn("notice not passed on", "host", string(p.Name), "error", err)
			}
		})
	}
}

// others returns the other hosts, those of the own failure domain first.
func (d *Drainer) others() []configurer.HostAddress {
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

// takers returns the hosts that may take a request over, in the order in which
// they are asked: the own failure domain first, each in turn.
func (d *Drainer) takers() []configurer.HostAddress {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.next++
	now := d.opt.Clock.Now()
	var own, rest []configurer.HostAddress
	for _, h := range d.others() {
		switch {
		case now.Before(d.gone[h.Name]):
		case h.FailureDomain == d.opt.Self.FailureDomain:
			own = append(own, h)
		default:
			rest = append(rest, h)
		}
	}
	return append(rotated(own, d.next), rotated(rest, d.next)...)
}

// rotated returns list beginning with element n modulo its length.
func rotated(list []configurer.HostAddress, n int) []configurer.HostAddress {
	if len(list) == 0 {
		return nil
	}
	n %= len(list)
	return append(append([]configurer.HostAddress{}, list[n:]...), list[:n]...)
}

// Find returns a customer's request at its owner among the other hosts: of
// those that know it, the one with the highest epoch.
func (d *Drainer) Find(ctx context.Context, customer identifier.Customer, id identifier.RequestID) (dispatcher.Remote, dispatcher.Status, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		best  *remote
		state dispatcher.Status
	)
	for _, h := range d.others() {
		wg.Go(func() {
			s, ok := d.ask(ctx, h, customer, id)
			mu.Lock()
			defer mu.Unlock()
			if ok && (best == nil || s.Epoch > state.Epoch) {
				best = &remote{d: d, host: h, customer: customer, id: id}
				state = s
			}
		})
	}
	wg.Wait()
	if best == nil {
		return nil, dispatcher.Status{}, false
	}
	return best, state, true
}

// ask asks one host for a request.
func (d *Drainer) ask(ctx context.Context, h configurer.HostAddress, customer identifier.Customer, id identifier.RequestID) (dispatcher.Status, bool) {
	var resp wire.FindResponse
	var s dispatcher.Status
	req := &wire.FindRequest{Customer: string(customer), RequestId: string(id)}
	if err := d.opt.Call(ctx, h.Address, findMethod, req, &resp); err != nil || !resp.Found {
		return s, false
	}
	return s, json.Unmarshal(resp.Status, &s) == nil
}

// remote is a request at its owner on another host.
type remote struct {
	d        *Drainer
	host     configurer.HostAddress
	customer identifier.Customer
	id       identifier.RequestID
}

// Next returns what follows event n, and goes after the request where it moved
// to yet another host.
func (r *remote) Next(ctx context.Context, n int) (dispatcher.Update, error) {
	for moves := 0; moves < moveRounds; {
		u, err := r.call(ctx, n)
		switch {
		case ctx.Err() != nil:
			return u, ctx.Err()
		case err == nil && u.State == dispatcher.Running && len(u.Payloads) == 0:
		case err == nil && u.State != dispatcher.Moved:
			return u, nil
		default:
			moves++
			if !r.search(ctx) {
				return u, errOwnerLost
			}
		}
	}
	return dispatcher.Update{}, errOwnerLost
}

// call asks the owner once.
func (r *remote) call(ctx context.Context, n int) (dispatcher.Update, error) {
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

// search looks for the owner anew.
func (r *remote) search(ctx context.Context) bool {
	found, _, ok := r.d.Find(ctx, r.customer, r.id)
	if !ok {
		return false
	}
	r.host = found.(*remote).host
	return true
}
