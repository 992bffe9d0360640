package drainer_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/drainer"
)

func TestNoticeHandler(t *testing.T) {
	d := drainer.New(drainer.Options{})
	h := d.NoticeHandler([]configurer.OperatorToken{{Operator: "platform", TokenHash: configurer.HashKey("t")}})
	tests := []struct {
		token, body string
		status      int
	}{
		{"t", `{"in":"20s"}`, http.StatusAccepted},
		{"t", `{"backendServer":"w1","in":"20s"}`, http.StatusAccepted},
		{"t", `{"backendServer":"w1","cancelled":true}`, http.StatusAccepted},
		{"t", `{"cancelled":true}`, http.StatusBadRequest},
		{"t", `{"backendServer":"w1"}`, http.StatusBadRequest},
		{"t", `{"in":"-1s"}`, http.StatusBadRequest},
		{"t", `{"server":"w1","in":"1s"}`, http.StatusBadRequest},
		{"t", ``, http.StatusBadRequest},
		{"x", `{"in":"20s"}`, http.StatusUnauthorized},
	}
	for _, tt := range tests {
		r := httptest.NewRequest(http.MethodPost, "/v1/notices", strings.NewReader(tt.body))
		r.Header.Set("Authorization", "Bearer "+tt.token)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != tt.status {
			t.Errorf("%s under %q: status %d, want %d", tt.body, tt.token, w.Code, tt.status)
		}
	}
}
