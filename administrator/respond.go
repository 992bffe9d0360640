package administrator

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
)

// maxRequestBytes is the maximum size of a request body. It leaves 64 KiB for
// the other fields of a request with a document of the maximum size.
const maxRequestBytes = reducer.MaxDocumentBytes + 64<<10

var (
	unauthenticatedRequests = metrics.NewCounter("cyclamen_operator_unauthenticated_total")
	unauditedRefusals       = metrics.NewCounter("cyclamen_operator_unaudited_refusals_total")
	responseFailures        = metrics.NewCounter("cyclamen_operator_response_failures_total")
)

// respond writes v as a JSON response.
func respond(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		responseFailures.Inc()
	}
}

// refuse writes err as a JSON-encoded refusal, and counts it by kind.
func refuse(w http.ResponseWriter, err error) {
	refusal := refuser.From(err)
	metrics.GetOrCreateCounter(fmt.Sprintf(`cyclamen_operator_refusals_total{kind=%q}`, refusal.Kind())).Inc()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(refusal.Status())
	if err := json.NewEncoder(w).Encode(refusal); err != nil {
		responseFailures.Inc()
	}
}

// notFound refuses a path or method that the API does not have.
func notFound(w http.ResponseWriter, r *http.Request) {
	refuse(w, refuser.NotRun(refuser.NotFound, fmt.Sprintf("there is no %s %s", r.Method, r.URL.Path),
		"use the version of cyclamenctl that goes with this host"))
}

// readBody decodes the JSON body of r into v. The error is a refusal.
func readBody(w http.ResponseWriter, r *http.Request, v any) error {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuser.NotRun(refuser.TooLarge, "the request is too large", fmt.Sprintf("shorten it to %d bytes", maxRequestBytes))
	case err != nil:
		return refuser.NotRun(refuser.Malformed, "the request broke off", "send it again")
	}
	if err := json.Unmarshal(b, v); err != nil {
		return refuser.NotRun(refuser.Malformed, "the request is not the JSON that this call takes: "+err.Error(),
			"use the version of cyclamenctl that goes with this host")
	}
	return nil
}
