package dispatcher

import (
	"context"
	"sync"
	"sync/atomic"

	"cyclamenhub.org/admitter"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/timer"

	"github.com/VictoriaMetrics/metrics"
)

// admission controls which requests the dispatcher accepts. It passes the limits
// of a newly published table to its admitter before it admits the next request.
type admission struct {
	admitter *admitter.Admitter
	table    atomic.Pointer[Table]
	mu       sync.Mutex
}

// newAdmission returns an admission that uses a, or a new admitter if a is nil.
func newAdmission(a *admitter.Admitter, clock timer.Clock, set *metrics.Set) *admission {
	if a == nil {
		a = admitter.New(admitter.Config{Clock: clock, Metrics: set})
	}
	return &admission{admitter: a}
}

// admit blocks until r may be sent or is refused. Every refusal that it returns
// is of the kind "not run".
func (a *admission) admit(ctx context.Context, t *Table, r *Request) (*admitter.Grant, *refuser.Refusal) {
	a.applyTable(t)
	p := admitter.Interactive
	if r.Priority == Batch {
		p = admitter.Batch
	}
	g, err := a.admitter.Admit(ctx, admitter.Request{
		Customer: r.Customer, Service: r.Service.Name, Priority: p, Deadline: r.Deadline,
		PromptTokens: r.promptTokens(), MaxTokens: r.MaxTokens,
	})
	if err != nil {
		return nil, refuser.From(err)
	}
	return g, nil
}

// applyTable passes the limits of t to the admitter unless t is already
// applied.
func (a *admission) applyTable(t *Table) {
	if a.table.Load() == t {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.table.Load() == t {
		return
	}
	l := t.Limits()
	a.admitter.SetLimits(admitter.Limits{Queued: l.QueuedRequests, RetryShare: l.RetryShare})
	a.admitter.SetServices(serviceLimits(t))
	a.admitter.SetCustomers(customerLimits(t))
	a.table.Store(t)
}

// serviceLimits returns the limits of all services. The concurrency limit of a
// service on one host is the sum of the concurrency of all its backend servers.
func serviceLimits(t *Table) []admitter.ServiceLimits {
	list := make([]admitter.ServiceLimits, 0, len(t.services))
	for name, s := range t.services {
		n := 0
		for _, b := range t.servers[name] {
			n += b.Concurrency
		}
		list = append(list, admitter.ServiceLimits{Service: name, FirstTokenTarget: s.FirstTokenTarget.Std(), Concurrency: n})
	}
	return list
}

// customerLimits returns the limits of all customers.
func customerLimits(t *Table) []admitter.CustomerLimits {
	list := make([]admitter.CustomerLimits, 0, len(t.customerList))
	for _, c := range t.customerList {
		list = append(list, admitter.CustomerLimits{
			Customer: c.Name, Weight: c.Weight, RequestsPerSecond: c.RequestsPerSecond, TokensPerSecond: c.TokensPerSecond,
		})
	}
	return list
}
