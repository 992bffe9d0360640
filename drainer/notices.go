package drainer

import (
	"encoding/json"
	"net/http"
	"time"

	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
)

// maxNoticeBytes bounds the body of a notice.
const maxNoticeBytes = 4 << 10

// Notice is a reclaim notice as the platform or an operator sends it.
type Notice struct {
	// BackendServer is the server that leaves, or empty for this host.
	BackendServer identifier.BackendServer `json:"backendServer,omitempty"`
	// In is the time that is left, as in "20s".
	In configurer.Duration `json:"in"`
	// Cancelled takes an earlier notice of the backend server back.
	Cancelled bool `json:"cancelled,omitempty"`
}

// ServeHTTP takes a notice in. It checks nobody's right to send one: mount it
// behind the operators' tokens.
func (d *Drainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var n Notice
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxNoticeBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&n); err != nil || !n.Cancelled && n.In <= 0 {
		http.Error(w, `send {"backendServer": NAME, "in": "20s"}, or leave the name out for this host`, http.StatusBadRequest)
		return
	}
	left := time.Duration(n.In)
	switch {
	case n.BackendServer == "":
		d.HostLeaves(left)
	case n.Cancelled:
		d.ServerStays(n.BackendServer)
	default:
		d.ServerLeaves(n.BackendServer, left)
	}
	w.WriteHeader(http.StatusAccepted)
}
