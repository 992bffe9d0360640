package dispatcher

import (
	"sync"

	"cyclamenhub.org/identifier"
)

const (
	// budgetReserve lets a quiet process retry before it saw successes.
	budgetReserve = 10.0
	// budgetCap bounds what successes may add up to.
	budgetCap = 100.0
)

// budget allows retries for a share of recent successes, so that retries
// cannot multiply an overload (the token form is that of Finagle's retry
// budgets).
type budget struct {
	mu      sync.Mutex
	balance float64
}

func newBudget() *budget { return &budget{balance: budgetReserve} }

// deposit adds what one success allows.
func (b *budget) deposit(share identifier.Share) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(b.balance+float64(share), budgetCap)
}

// withdraw takes one retry, or reports that there is none left.
func (b *budget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}
