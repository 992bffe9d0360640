package node

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cyclamenhub.org/budgeter"
	"cyclamenhub.org/platform"
)

const (
	// documentPause bounds the time between two parts of a document, and documentTime
	// the time until it is complete.
	documentPause = 10 * time.Second
	documentTime  = time.Minute
	// refusedTime is how long the rest of a document that is refused is read.
	refusedTime = time.Second
)

// documentReader reads what operators send within a part of the keeper's memory.
type documentReader struct{ budget *budgeter.Budget }

// newDocumentReader returns a reader for a keeper with the settings.
func newDocumentReader(cfg *platform.Settings) *documentReader {
	n := budgeter.Divide(cfg.MemoryBytes).Documents
	return &documentReader{budgeter.New(budgeter.Options{Max: n, Large: n})}
}

// read reads the body of a request. It is a platform.BodyReader. What it has taken is given
// back when the request ends.
func (d *documentReader) read(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, *platform.BodyError) {
	rc := http.NewResponseController(w)
	end := time.Now().Add(documentTime)
	b := budgeter.Body{
		Claim: d.budget.Open(rc.SetReadDeadline), Source: r.Body, Length: r.ContentLength, Max: maxBytes,
		Deadline: func() time.Time {
			if next := time.Now().Add(documentPause); next.Before(end) {
				return next
			}
			return end
		},
	}
	var parts [][]byte
	err := b.Read(func(part []byte) { parts = append(parts, part) })
	if err == nil {
		context.AfterFunc(r.Context(), b.Claim.Release)
		return slices.Concat(parts...), nil
	}
	w.Header().Set("Connection", "close")
	_ = rc.SetReadDeadline(time.Now().Add(refusedTime)) // net/http reads on before it answers.
	return nil, refusalOfDocument(w.Header(), err)
}

// refusalOfDocument returns the answer to a document that was not read.
func refusalOfDocument(h http.Header, err error) *platform.BodyError {
	switch {
	case errors.Is(err, budgeter.ErrTooLarge):
		return &platform.BodyError{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too large: shorten it"}
	case errors.Is(err, budgeter.ErrFull), errors.Is(err, budgeter.ErrEnded):
		documentsRefused.Inc()
		h.Set("Retry-After", "1")
		return &platform.BodyError{Status: http.StatusServiceUnavailable, Reason: "too many documents at once: send it again later"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		documentsRefused.Inc()
		return &platform.BodyError{Status: http.StatusRequestTimeout, Reason: "the body came too slowly: send it at once"}
	default:
		return &platform.BodyError{Status: http.StatusBadRequest, Reason: "the body was not read whole: send it again"}
	}
}

var documentsRefused = metrics.NewCounter("cyclamen_keeper_documents_refused_total")
