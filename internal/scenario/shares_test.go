package scenario

import (
	"net/http"
	"testing"
	"time"

	"cyclamenhub.org/configurer"
)

// TestBusyHostGetsUnusedShares sends all of a customer's requests through one of
// three hosts. The hosts must give that host more than a third of the customer's
// rate, and never more than the full rate.
func TestBusyHostGetsUnusedShares(t *testing.T) {
	t.Parallel()
	const (
		rate = 40.0 // requests a second
		// A token bucket holds up to 5 s of the rate. A host that has received
		// no shares uses a quarter of the rate divided by the number of hosts.
		burst     = 5.0
		thirdPart = rate / 3
	)
	s := newSite(t, 3)
	s.fleet.Defaults.Customers[0].RequestsPerSecond = rate
	s.startFake(0, configurer.PlainService, "")
	s.run()
	start := time.Now()
	granted, refused := 0, 0
	s.await("more than a third is granted", func() bool {
		for range 20 {
			resp, err := s.call(t.Context(), http.MethodGet, s.caller(0)+"/services/cases/status", "", nil)
			if err != nil {
				t.Fatal(err)
			}
			switch resp.StatusCode {
			case http.StatusOK:
				granted++
			case http.StatusTooManyRequests:
				refused++
			default:
				t.Fatalf("status %d", resp.StatusCode)
			}
			if err := resp.Body.Close(); err != nil {
				t.Fatal(err)
			}
		}
		seconds := time.Since(start).Seconds()
		if most := rate * (seconds + burst); float64(granted) > most+1 {
			t.Fatalf("%d requests granted in %.1f s, want at most %.0f", granted, seconds, most)
		}
		return float64(granted) > thirdPart*(seconds+burst)+1
	})
	if refused == 0 {
		t.Fatal("no request was refused: the test did not reach the rate")
	}
}
