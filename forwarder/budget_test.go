package forwarder

import "testing"

// TestRetryBudgetAcrossHosts lets every call of a service fail at each of many
// hosts. However many hosts share the budget, together they must retry no more
// often than the reserve and the deposits of first attempts allow.
func TestRetryBudgetAcrossHosts(t *testing.T) {
	const service, ratio, reserve, calls = "cases", 0.2, 140.0, 100
	for _, hosts := range []int{1, 8, 69, 300} {
		retries := 0
		for range hosts {
			b := newRetryBudgets(RetryBudget{Ratio: ratio, Reserve: reserve}, hosts)
			for range calls / 10 {
				b.deposit(service)
				if b.tryWithdraw(service) {
					retries++
				}
			}
		}
		if limit := reserve + ratio*float64(hosts*calls/10); float64(retries) > limit {
			t.Errorf("%d hosts retry %d times, at most %v are allowed", hosts, retries, limit)
		}
	}
}

// TestSilenceLeavesRetriesToLosses guards against retries that are all spent on silent
// servers, so that calls which have lost theirs are not sent again.
func TestSilenceLeavesRetriesToLosses(t *testing.T) {
	b := newRetryBudgets(RetryBudget{Reserve: 8}, 1)
	for b.hasSpare("s") {
		b.tryWithdraw("s")
	}
	left := 0
	for b.tryWithdraw("s") {
		left++
	}
	if left < 4 {
		t.Errorf("%d of 8 retries are left after silences, want half", left)
	}
}
