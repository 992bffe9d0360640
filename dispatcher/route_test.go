package dispatcher

import (
	"testing"

	"cyclamenhub.org/identifier"
)

func TestRoutePattern(t *testing.T) {
	tests := []struct {
		pattern, route identifier.Route
		want           bool
	}{
		{"POST /filings", "POST /filings", true},
		{"POST /filings", "POST /filings/", true},
		{"POST /filings", "GET /filings", false},
		{"POST /filings", "POST /filings/7", false},
		{"POST /filings", "POST /filing", false},
		{"POST /grants/{id}/filings", "POST /grants/7/filings", true},
		{"POST /grants/{id}/filings", "POST /grants/filings", false},
		{"POST /orders/{rest...}", "POST /orders/7/print", true},
		{"POST /{rest...}", "POST /", true},
	}
	for _, tt := range tests {
		if got := newRoutePattern(tt.pattern).matches(tt.route); got != tt.want {
			t.Errorf("%q matches %q: got %v", tt.pattern, tt.route, got)
		}
	}
}
