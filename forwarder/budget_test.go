package forwarder

import "testing"

// TestRetriesOfAllHosts replays a service that fails every call at each of many
// hosts: all together retry no more than the reserve and what first attempts
// earn, however many hosts share them.
func TestRetriesOfAllHosts(t *testing.T) {
	const service, ratio, reserve, calls = "cases", 0.2, 140.0, 100
	for _, hosts := range []int{1, 8, 69, 300} {
		retries := 0
		for range hosts {
			b := newBudgets(RetryBudget{Ratio: ratio, Reserve: reserve}, hosts)
			for range calls / 10 {
				b.earn(service)
				if b.take(service) {
					retries++
				}
			}
		}
		if most := reserve + ratio*float64(hosts*calls/10); float64(retries) > most {
			t.Errorf("%d hosts retry %d times, at most %v are allowed", hosts, retries, most)
		}
	}
}
