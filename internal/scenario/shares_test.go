package scenario

import (
	"net/http"
	"testing"
	"time"

	"cyclamenhub.org/configurer"
)

// TestBusyHostGetsTheIdleOnesShare sends all of a customer's requests through
// one of three hosts, which must be granted more than a third of the rate, and
// never more than the whole.
func TestBusyHostGetsTheIdleOnesShare(t *testing.T) {
	t.Parallel()
	const (
		rate = 40.0 // requests a second
		// A bucket saves up 5 s, and a host that has heard of no division holds
		// a quarter of the rate over the number of hosts.
		burst     = 5.0
		thirdPart = rate / 3
	)
	s := newSite(t, 3)
	s.fleet.Defaults.Customers[0].RequestsPerSecond = rate
	s.fake(0, configurer.PlainService, "")
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
			t.Fatalf("%d requests granted in %.1f s, the rate allows %.0f", granted, seconds, most)
		}
		return float64(granted) > thirdPart*(seconds+burst)+1
	})
	if refused == 0 {
		t.Fatal("nothing was refused: the rate was not reached")
	}
}
