package forwarder

import (
	"sync"

	"cyclamenhub.org/identifier"
)

// RetryBudget bounds how many further attempts this host makes. Retries answer
// a few failing backend servers; when all fail they would only add load, so
// that they are earned by first attempts.
type RetryBudget struct {
	// Ratio is the part of a retry that each first attempt earns.
	Ratio float64
	// Reserve is what is there from the start, and the most that is saved up.
	Reserve float64
}

// budgets holds the retries that are left, by service.
type budgets struct {
	mu   sync.Mutex
	cfg  RetryBudget
	left map[identifier.Service]float64
}

// newBudgets returns budgets with full reserves.
func newBudgets(cfg RetryBudget) *budgets {
	return &budgets{cfg: cfg, left: make(map[identifier.Service]float64)}
}

// earn counts a first attempt.
func (b *budgets) earn(s identifier.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left[s] = min(b.level(s)+b.cfg.Ratio, b.cfg.Reserve)
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
	return b.cfg.Reserve
}
