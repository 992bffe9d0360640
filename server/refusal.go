package server

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"cyclamenhub.org/refuser"
)

// refuse sends a refusal as the complete answer.
func (s *Server) refuse(w http.ResponseWriter, f *refuser.Refusal) {
	s.counters.countRefusal(f.Kind())
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if after := f.RetryAfter(); after > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	if f.Kind() == refuser.Unauthenticated {
		h.Set("WWW-Authenticate", "Bearer")
	}
	writeJSON(w, f.Status(), f)
}

// writeJSON sends v as JSON with a Content-Length.
func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
