package connector

import (
	"net/http"
	"testing"
)

// TestStatusLineInHeaderIsFound checks which headers count as joined.
func TestStatusLineInHeaderIsFound(t *testing.T) {
	for _, tc := range []struct {
		status, value string
		want          bool
	}{
		{"200 OK", "a", false},
		{"200 OK", "HTTP/1.1 proxy", false},
		{"200 OK", "HTTP/1.1", false},
		{"200 OK", "HTTP/1.1 20", false},
		{"200 OK", "HTTP/1.1 2000", false},
		{"200 OK", "1HTTP/1.1 200 OK", true},
		{"200 OK", "1HTTP/1.0 200", true},
		{"200 OK", "HTTP/1.HTTP/1.1 503 X", true},
		{"421 MisHTTP/1.1 200 OK", "a", true},
	} {
		res := &http.Response{Status: tc.status, Header: http.Header{"X-Value": {"a", tc.value}}}
		if got := isJoined(res); got != tc.want {
			t.Errorf("status %q, value %q: joined %t, want %t", tc.status, tc.value, got, tc.want)
		}
	}
}
