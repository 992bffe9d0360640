package admitter

import "cyclamenhub.org/identifier"

const (
	// retryReserve is the number of retries allowed before the first success,
	// and the most that the budget holds.
	retryReserve = 10
	// retryUnit is one retry in the units of the budget, which allow fractions
	// of a retry.
	retryUnit = 1000
)

// retryBudget allows retries in proportion to recent successes, so that retries
// cannot multiply an overload: with a share s it allows at most s retries for
// each success, besides the reserve.
type retryBudget struct{ perSuccess, level int64 }

// newRetryBudget returns a budget with a full reserve.
func newRetryBudget(share identifier.Share) retryBudget {
	b := retryBudget{level: retryReserve * retryUnit}
	b.setShare(share)
	return b
}

// setShare sets the retries that each later success adds to the budget.
func (b *retryBudget) setShare(share identifier.Share) { b.perSuccess = int64(share * retryUnit) }

// addSuccess adds the retries earned by one success.
func (b *retryBudget) addSuccess() { b.level = min(b.level+b.perSuccess, retryReserve*retryUnit) }

// take removes one retry and reports whether one was left.
func (b *retryBudget) take() bool {
	if b.level < retryUnit {
		return false
	}
	b.level -= retryUnit
	return true
}
