package forwarder

import (
	"sync"

	"cyclamenhub.org/identifier"
)

// RetryBudget bounds how many retries all hosts make together. Retries help
// when a few backend servers fail; when all fail they would only add load, so
// the budget grows only with first attempts.
type RetryBudget struct {
	// Ratio is the fraction of a retry that each first attempt adds.
	Ratio float64
	// Reserve is the number of retries available at the start, and the most
	// that can be saved up, summed over all hosts.
	Reserve float64
}

// retryBudgets holds this host's share of the remaining retries of each
// service, as token buckets.
type retryBudgets struct {
	mu     sync.Mutex
	cfg    RetryBudget
	hosts  float64
	tokens map[identifier.Service]float64
}

// newRetryBudgets returns the budgets of one host out of the given number.
func newRetryBudgets(cfg RetryBudget, hosts int) *retryBudgets {
	b := &retryBudgets{cfg: cfg, tokens: make(map[identifier.Service]float64)}
	b.setHosts(hosts)
	return b
}

// setHosts sets how many hosts share the budget.
func (b *retryBudgets) setHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = float64(max(n, 1))
}

// reserve returns this host's share of the reserve. The caller holds mu.
func (b *retryBudgets) reserve() float64 { return b.cfg.Reserve / b.hosts }

// deposit adds Ratio for a first attempt, up to this host's share of the reserve
// or one retry, whichever is larger.
func (b *retryBudgets) deposit(s identifier.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[s] = min(b.available(s)+b.cfg.Ratio, max(b.reserve(), 1))
}

// tryWithdraw spends one retry and reports whether one was available.
func (b *retryBudgets) tryWithdraw(s identifier.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available(s) < 1 {
		return false
	}
	b.tokens[s] = b.available(s) - 1
	return true
}

// hasSpare reports whether half of this host's share of the reserve remains besides one
// retry. Only then is a retry spent on a server that is merely silent: calls that have
// lost their server need the rest.
func (b *retryBudgets) hasSpare(s identifier.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.available(s)-1 >= b.reserve()/2
}

// giveBack returns a retry that was withdrawn and not made.
func (b *retryBudgets) giveBack(s identifier.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens[s] = b.available(s) + 1
}

// available returns the remaining retries of a service. The caller holds mu.
func (b *retryBudgets) available(s identifier.Service) float64 {
	if v, ok := b.tokens[s]; ok {
		return v
	}
	return b.reserve()
}
