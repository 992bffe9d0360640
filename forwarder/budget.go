package forwarder

import (
	"sync"

	"cyclamenhub.org/identifier"
)

// RetryBudget bounds how many further attempts all hosts make together. Retries
// answer a few failing backend servers; when all fail they would only add load,
// so that they are earned by first attempts.
type RetryBudget struct {
	// Ratio is the part of a retry that each first attempt earns.
	Ratio float64
	// Reserve is what there is besides, and the most that is saved up, over all
	// hosts.
	Reserve float64
}

// budgets holds this host's part of the retries that are left, by service.
type budgets struct {
	mu    sync.Mutex
	cfg   RetryBudget
	hosts float64
	left  map[identifier.Service]float64
}

// newBudgets returns budgets of one of some hosts.
func newBudgets(cfg RetryBudget, hosts int) *budgets {
	b := &budgets{cfg: cfg, left: make(map[identifier.Service]float64)}
	b.setHosts(hosts)
	return b
}

// setHosts tells how many hosts share the budget.
func (b *budgets) setHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = float64(max(n, 1))
}

// reserve returns this host's part of the reserve. The caller holds mu.
func (b *budgets) reserve() float64 { return b.cfg.Reserve / b.hosts }

// earn counts a first attempt.
func (b *budgets) earn(s identifier.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left[s] = min(b.level(s)+b.cfg.Ratio, max(b.reserve(), 1))
}

// take spends one retry and reports whether there was one.
func (b *budgets) take(s identifier.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.level(s) < 1 {
		return false
	}
	b.left[s] = b.level(s) - 1
	return true
}

// level returns what is left. The caller holds mu.
func (b *budgets) level(s identifier.Service) float64 {
	if v, ok := b.left[s]; ok {
		return v
	}
	return b.reserve()
}
