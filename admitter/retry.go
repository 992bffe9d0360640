package admitter

import "cyclamenhub.org/identifier"

const (
	// retryReserve is how many retries are allowed before any success was seen,
	// and the most that are saved up.
	retryReserve = 10
	// retryUnit is one retry; the budget counts whole parts of it.
	retryUnit = 1000
)

// retryBudget allows retries as a share of recent successes, so that retries
// cannot multiply an overload: with a share s there are at most s retries for
// each success, besides the reserve.
type retryBudget struct{ earns, level int64 }

// newRetryBudget returns a budget with a full reserve.
func newRetryBudget(share identifier.Share) retryBudget {
	b := retryBudget{level: retryReserve * retryUnit}
	b.setShare(share)
	return b
}

// setShare sets what a success earns from now on.
func (b *retryBudget) setShare(share identifier.Share) { b.earns = int64(share * retryUnit) }

// succeed adds what one success earns.
func (b *retryBudget) succeed() { b.level = min(b.level+b.earns, retryReserve*retryUnit) }

// take spends one retry and reports whether there was one.
func (b *retryBudget) take() bool {
	if b.level < retryUnit {
		return false
	}
	b.level -= retryUnit
	return true
}
