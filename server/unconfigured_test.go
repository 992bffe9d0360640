package server_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/refuser"
	"cyclamenhub.org/server"
)

func TestHostWithoutConfigurationRefuses(t *testing.T) {
	var tables atomic.Pointer[dispatcher.Table]
	s := server.New(server.Options{Dispatcher: dispatcher.New(dispatcher.Options{Tables: &tables}), Tables: &tables})
	for _, path := range []string{"/v1/chat/completions", "/services/dossier/filings"} {
		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("{}"))
		r.Header.Set("Authorization", "Bearer "+testKey)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		var f refuser.Refusal
		if err := json.Unmarshal(w.Body.Bytes(), &f); err != nil {
			t.Fatalf("%s: %v: %s", path, err, w.Body)
		}
		if diff := cmp.Diff(refuser.NoBackendServer, f.Kind()); diff != "" || !f.IsNotRun() || w.Header().Get("Retry-After") == "" {
			t.Errorf("%s: not run %v, header %v, kind %s", path, f.IsNotRun(), w.Header(), diff)
		}
	}
}
