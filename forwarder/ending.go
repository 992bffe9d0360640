package forwarder

import (
	"context"
	"slices"
	"time"

	"cyclamenhub.org/connector"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/placer"
	"cyclamenhub.org/relayer"
	"cyclamenhub.org/timer"
)

const (
	// maxWitnesses is how many other backend servers are tried when one has refused a
	// connection.
	maxWitnesses = 3
	// witnessDialTimeout is how long they may take to accept one.
	witnessDialTimeout = 250 * time.Millisecond
	// witnessInterval is the time between two looks at open connections.
	witnessInterval = 10 * time.Millisecond
)

// hasEnded reports whether the process of the backend server of an attempt has ended,
// although the server did not say that it leaves. An answer without a length that ends
// then is not known to be complete.
func (x *exchange) hasEnded(choice *placer.Choice) bool {
	in, ok := x.f.fleet.Load().servers[choice.Server]
	return ok && !in.Draining && !choice.IsLeaving() && x.f.hasEnded(x.ctx, in)
}

// hasEnded finds out whether the process of a backend server has ended: a new connection is
// refused, and not because this host is cut off.
func (f *Forwarder) hasEnded(ctx context.Context, in describer.Instance) bool {
	switch f.opts.Pool.Probe(ctx, in.Address) {
	case connector.Accepted:
		f.refusals.Accepted()
		return false
	case connector.Silent:
		return false
	case connector.Refused:
	}
	refusedAt := f.opts.Clock.Now()
	w := f.tryWitnesses(ctx, in)
	ending := w.judge(in.Address, refusedAt)
	for ending == relayer.Undecided && timer.Sleep(ctx, witnessInterval) {
		ending = w.judge(in.Address, refusedAt)
	}
	f.opts.Log.Info("backend server refuses connections", "server", in.ID, "address", in.Address, "ending", ending.String(), "others", len(w.addresses))
	return ending != relayer.CutOff
}

// witnesses are other backend servers that are tried when one has refused a connection.
type witnesses struct {
	f         *Forwarder
	addresses []string
	// receptions holds how the addresses received a new connection; Silent is the one of
	// those that were not awaited.
	receptions []connector.Reception
}

// tryWitnesses opens new connections to servers other than the one that has refused one. It
// returns once one is accepted, or none is awaited any more.
func (f *Forwarder) tryWitnesses(ctx context.Context, refusing describer.Instance) *witnesses {
	ctx, cancel := context.WithTimeout(ctx, witnessDialTimeout)
	defer cancel()
	w := &witnesses{f: f, addresses: f.witnessesFor(refusing)}
	w.receptions = make([]connector.Reception, len(w.addresses))
	type result struct {
		index     int
		reception connector.Reception
	}
	results := make(chan result, len(w.addresses))
	for i, address := range w.addresses {
		go func() { results <- result{i, f.opts.Pool.Probe(ctx, address)} }()
	}
	for range w.addresses {
		r := <-results
		w.receptions[r.index] = r.reception
		if r.reception == connector.Accepted {
			break
		}
	}
	return w
}

// witnessesFor returns the addresses of up to maxWitnesses listed servers other than the one
// that has refused a connection. Those with open connections come first, since only they
// can show that this host is cut off.
func (f *Forwarder) witnessesFor(refusing describer.Instance) []string {
	now := f.opts.Clock.Now()
	var open, rest []string
	for id, in := range f.fleet.Load().servers { // In random order.
		switch {
		case id == refusing.ID || in.Address == refusing.Address || in.Draining:
		case len(open) == maxWitnesses:
			return open
		case f.opts.Pool.HasOpen(in.Address, now):
			open = append(open, in.Address)
		default:
			rest = append(rest, in.Address)
		}
	}
	all := slices.Concat(open, rest)
	return all[:min(len(all), maxWitnesses)]
}

// judge returns what is known now of a server that refused a connection. Only connections
// that were opened before count.
func (w *witnesses) judge(refusing string, refusedAt time.Time) relayer.Ending {
	pool := w.f.opts.Pool
	others := make([]relayer.Finding, len(w.addresses))
	for i, address := range w.addresses {
		r := w.receptions[i]
		others[i] = relayer.Finding{
			Accepts: r == connector.Accepted, Refuses: r == connector.Refused,
			IsOpen: r == connector.Refused && pool.HasOpen(address, refusedAt),
		}
	}
	server := relayer.Finding{Refuses: true, IsOpen: pool.HasOpen(refusing, refusedAt)}
	return w.f.refusals.Judge(server, others, refusedAt)
}
