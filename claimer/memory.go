package claimer

import (
	"context"
	"sync"
	"time"

	"cyclamenhub.org/timer"
)

// MemoryClaimer grants claims within one process. The claims are lost when the
// process ends, so it is suitable only for tests and trials. It is safe for
// concurrent use.
type MemoryClaimer struct {
	clock timer.Clock

	mu       sync.Mutex // guards table and advanced
	table    Table
	advanced time.Time
}

// NewMemoryClaimer returns a claimer that holds at most n claims; 0 means
// DefaultClaims.
func NewMemoryClaimer(clock timer.Clock, n int) *MemoryClaimer {
	return &MemoryClaimer{clock: clock, advanced: clock.Now(), table: Table{bounds: SetBounds{Claims: n}}}
}

// Claim claims the key of c and returns the verdict.
func (m *MemoryClaimer) Claim(_ context.Context, c Claim) (Verdict, error) {
	return verdictOf(m.reduce(acquireOf(&c)))
}

// Settle stores the receipt.
func (m *MemoryClaimer) Settle(_ context.Context, c Claim, r Receipt) error {
	return errorOf(m.reduce(settle{keyDigest: c.keyDigest(), token: c.Token, receipt: r}))
}

// Release removes a claim for which nothing was sent.
func (m *MemoryClaimer) Release(_ context.Context, c Claim) error {
	return errorOf(m.reduce(release{keyDigest: c.keyDigest(), token: c.Token}))
}

// Abandon records that the claim has no receipt.
func (m *MemoryClaimer) Abandon(_ context.Context, c Claim) error {
	return errorOf(m.reduce(abandon{keyDigest: c.keyDigest(), token: c.Token}))
}

// reduce advances the table's clock to the current time and applies ev.
func (m *MemoryClaimer) reduce(ev Event) answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	for m.advanced.Before(now) {
		step := min(now.Sub(m.advanced), MaxAdvance)
		m.table.advance(step)
		m.advanced = m.advanced.Add(step)
	}
	return m.table.reduce(ev)
}
