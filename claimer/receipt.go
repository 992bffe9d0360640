package claimer

import (
	"net/http"
	"slices"
)

// Bounds of receipts.
const (
	// MaxReceiptBody is the largest body that a receipt keeps.
	MaxReceiptBody = 64 << 10
	// MaxReceiptHeader bounds the kept headers, names and values.
	MaxReceiptHeader = 4 << 10
)

// KeptHeaders lists the headers that a receipt keeps.
var KeptHeaders = []string{"Content-Encoding", "Content-Language", "Content-Type", "Etag", "Last-Modified", "Location"}

// Receipt is the durable record of a claimed action's answer.
type Receipt struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// BodyBytes is the size of the answer's body, kept or not.
	BodyBytes int64 `json:"bodyBytes"`
}

// IsWhole reports whether the receipt keeps the whole body.
func (r *Receipt) IsWhole() bool { return int64(len(r.Body)) == r.BodyBytes }

// bounded returns r as a table keeps it.
func (r Receipt) bounded() Receipt {
	r.BodyBytes = max(r.BodyBytes, int64(len(r.Body)))
	if len(r.Body) > MaxReceiptBody {
		r.Body = nil
	}
	kept := make(http.Header)
	size := 0
	for _, name := range KeptHeaders {
		values := r.Header.Values(name)
		if size += headerBytes(name, values); len(values) > 0 && size <= MaxReceiptHeader {
			kept[name] = slices.Clone(values)
		}
	}
	r.Header = kept
	return r
}

// withoutBody returns r with the size of its body alone.
func (r Receipt) withoutBody() Receipt {
	r.Body = nil
	return r
}

// headerBytes returns the size of one header.
func headerBytes(name string, values []string) int {
	n := 0
	for _, v := range values {
		n += len(name) + len(v)
	}
	return n
}
