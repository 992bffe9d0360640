package drainer

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// maxNoticeBytes is the maximum size of the body of a notice.
const maxNoticeBytes = 4 << 10

// Notice is a reclaim notice as the platform or an operator sends it.
type Notice struct {
	// BackendServer is the leaving server, or empty if this host leaves.
	BackendServer identifier.BackendServer `json:"backendServer,omitempty"`
	// In is the time until the server or host is reclaimed, for example "20s".
	In configurer.Duration `json:"in,omitempty"`
	// Cancelled cancels an earlier notice of the backend server.
	Cancelled bool `json:"cancelled,omitempty"`
}

// Check returns a refusal if n is malformed, and nil otherwise.
func (n *Notice) Check() *refuser.Refusal {
	switch {
	case n.Cancelled && n.BackendServer == "":
		return refuser.NotRun(refuser.Malformed, "only the notice of a backend server can be taken back", `name it in "backendServer"`)
	case !n.Cancelled && n.In <= 0:
		return refuser.NotRun(refuser.Malformed, "the time that is left is missing or not positive", `write "in", as in "20s"`)
	default:
		return nil
	}
}

// NoticeHandler returns the HTTP handler that accepts notices with one of the
// given tokens, which belong to operators and the platform.
func (d *Drainer) NoticeHandler(tokens []configurer.OperatorToken) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !allowed(r, tokens) {
			refuse(w, refuser.NotRun(refuser.Unauthenticated, "the token is missing or unknown", "send 'Authorization: Bearer TOKEN' with a token of the settings"))
			return
		}
		var n Notice
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxNoticeBytes))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&n); err != nil {
			refuse(w, refuser.NotRun(refuser.Malformed, "the notice cannot be read: "+err.Error(), `send {"backendServer": NAME, "in": "20s"}, or leave the name out for this host`))
			return
		}
		if refusal := n.Check(); refusal != nil {
			refuse(w, refusal)
			return
		}
		d.Notify(n)
		w.WriteHeader(http.StatusAccepted)
	})
}

// allowed reports whether r has one of the tokens.
func allowed(r *http.Request, tokens []configurer.OperatorToken) bool {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return ok && configurer.OperatorOf(tokens, token) != ""
}

// refuse sends f as the response.
func refuse(w http.ResponseWriter, f *refuser.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Status())
	// The caller may have disconnected, so an error is ignored.
	_ = json.NewEncoder(w).Encode(f)
}

// Notify handles a notice that Check accepts.
func (d *Drainer) Notify(n Notice) {
	remaining := time.Duration(n.In)
	switch {
	case n.BackendServer == "":
		d.HostLeaves(remaining)
	case n.Cancelled:
		d.ServerStays(n.BackendServer)
	default:
		d.ServerLeaves(n.BackendServer, remaining)
	}
}
