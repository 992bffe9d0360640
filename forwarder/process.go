package forwarder

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"cyclamenhub.org/concluder"
	"cyclamenhub.org/connector"
	"cyclamenhub.org/describer"
	"cyclamenhub.org/relayer"
	"cyclamenhub.org/timer"
)

const (
	// maxProbes is how many connections a backend server may drop, one each probeHold, before
	// it counts as one that has enough of them.
	maxProbes = 4
	// probeHold is how long a process that ends may take until it drops a connection that
	// it has accepted meanwhile, and from then on until it refuses them.
	probeHold = 50 * time.Millisecond
	// identifyTimeout is how long a process may take to answer whether it is a server.
	identifyTimeout = 300 * time.Millisecond
	// maxReportBytes bounds what is read of a report. A longer one is cut and cannot be decoded.
	maxReportBytes = 256 << 10
	// maxWitnesses is how many other backend servers are tried when one has refused a
	// connection.
	maxWitnesses = 3
	// witnessDialTimeout is how long they may take to accept one.
	witnessDialTimeout = 250 * time.Millisecond
	// witnessInterval is the time between two looks at open connections.
	witnessInterval = 10 * time.Millisecond
)

// findProcess finds out whether the process of a backend server has ended: a new connection is
// refused, and not because this host is cut off. A process that is ending may still accept a
// connection, which it drops then.
func (f *Forwarder) findProcess(ctx context.Context, in describer.Instance) concluder.Process {
	for range maxProbes {
		switch f.opts.Pool.Probe(ctx, in.Address, probeHold) {
		case connector.Accepted:
			f.refusals.Accepted()
			return concluder.Up
		case connector.Refused:
			return f.judgeRefusal(ctx, in)
		case connector.Silent:
			return concluder.Unknown
		case connector.Dropped: // A process that ends refuses a later one.
			timer.Sleep(ctx, probeHold)
		}
	}
	return concluder.Unknown
}

// identifyProcess asks whether the process at the address of a backend server is the given run. Any
// other server answers that it is not, and another run of the server tells another start.
func (f *Forwarder) identifyProcess(ctx context.Context, in describer.Instance) concluder.Identity {
	if in.StartedAtMillis > 0 {
		identity, report := f.ask(ctx, in, f.opts.Codec.ReportPath())
		startedAt, ok := f.opts.Codec.StartedAt(report)
		switch {
		case identity != concluder.SameID:
			return identity
		case ok && startedAt == in.StartedAtMillis:
			return concluder.Same
		case ok:
			f.opts.Log.Info("another run of a backend server has its address", "server", in.ID, "address", in.Address)
			return concluder.Other
		}
	}
	path := "/"
	if sv, ok := f.table.Load().Service(in.Service); ok && sv.HealthPath != "" {
		path = sv.HealthPath
	}
	identity, _ := f.ask(ctx, in, path)
	return identity
}

// ask asks the process at the address of a backend server, under the id of that one, and returns
// whether it has that id and what it answers.
func (f *Forwarder) ask(ctx context.Context, in describer.Instance, path string) (concluder.Identity, []byte) {
	conn, err := f.opts.Pool.Open(ctx, in.Address, connector.Fresh)
	if err != nil {
		return concluder.Unasked, nil
	}
	defer conn.Close()
	call := &describer.Call{Header: http.Header{}}
	m := &connector.Message{
		Method: http.MethodGet, Target: path, Host: in.Address,
		Header: f.opts.Codec.Encode(call, &describer.Attempt{Server: in.ID, Remaining: identifyTimeout}),
	}
	res, err := conn.Send(ctx, m, connector.Limits{Deadline: time.Now().Add(identifyTimeout)})
	switch {
	case err != nil:
		return concluder.Unasked, nil
	case res.Status == http.StatusMisdirectedRequest:
		f.opts.Log.Info("another process has the address of a backend server", "server", in.ID, "address", in.Address)
		return concluder.Other, nil
	case res.Status != http.StatusOK:
		return concluder.SameID, nil
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxReportBytes))
	if err != nil {
		return concluder.Unasked, nil
	}
	return concluder.SameID, body
}

// judgeRefusal returns what is known of the process of a server that has refused a connection.
func (f *Forwarder) judgeRefusal(ctx context.Context, in describer.Instance) concluder.Process {
	refusedAt := f.opts.Clock.Now()
	w := f.tryWitnesses(ctx, in)
	ending := w.judge(in.Address, refusedAt)
	for ending == relayer.Undecided && timer.Sleep(ctx, witnessInterval) {
		ending = w.judge(in.Address, refusedAt)
	}
	f.opts.Log.Info("backend server refuses connections", "server", in.ID, "address", in.Address, "ending", ending.String(), "others", len(w.addresses))
	if ending == relayer.CutOff {
		return concluder.CutOff
	}
	return concluder.Ended
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
		go func() { results <- result{i, f.opts.Pool.Probe(ctx, address, 0)} }()
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
	var open, rest []string
	for id, in := range f.fleet.Load().servers { // In random order.
		switch {
		case id == refusing.ID || in.Address == refusing.Address || in.Draining:
		case len(open) == maxWitnesses:
			return open
		case f.opts.Pool.HasOpen(in.Address, 0):
			open = append(open, in.Address)
		default:
			rest = append(rest, in.Address)
		}
	}
	all := slices.Concat(open, rest)
	return all[:min(len(all), maxWitnesses)]
}

// judge returns what is known now of a server that refused a connection. Only connections
// that were opened before that count.
func (w *witnesses) judge(refusing string, refusedAt time.Time) relayer.Ending {
	pool, age := w.f.opts.Pool, w.f.opts.Clock.Now().Sub(refusedAt)
	others := make([]relayer.Finding, len(w.addresses))
	for i, address := range w.addresses {
		r := w.receptions[i]
		others[i] = relayer.Finding{
			Accepts: r == connector.Accepted, Refuses: r == connector.Refused,
			IsOpen: r == connector.Refused && pool.HasOpen(address, age),
		}
	}
	server := relayer.Finding{Refuses: true, IsOpen: pool.HasOpen(refusing, age)}
	return w.f.refusals.Judge(server, others, refusedAt)
}
