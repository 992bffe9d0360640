package claimer

import (
	"net/http"
	"slices"
)

// Bounds of receipts.
const (
	// MaxReceiptBody is the size in bytes of the largest body that a receipt
	// keeps.
	MaxReceiptBody = 64 << 10
	// MaxReceiptHeader bounds the size in bytes of the kept headers, counting
	// names and values.
	MaxReceiptHeader = 4 << 10
)

// KeptHeaders lists the headers that a receipt keeps.
var KeptHeaders = []string{"Content-Encoding", "Content-Language", "Content-Type", "Etag", "Last-Modified", "Location"}

// Receipt is the durable record of the answer to a claimed action.
type Receipt struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
	// BodyBytes is the size of the answer's body, even if Body does not keep
	// it.
	BodyBytes int64 `json:"bodyBytes"`
}

// HasFullBody reports whether the receipt keeps the complete body.
func (r *Receipt) HasFullBody() bool { return int64(len(r.Body)) == r.BodyBytes }

// bounded returns r without an oversized body and with only those of
// KeptHeaders that fit in MaxReceiptHeader.
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

// withoutBody returns r without its body; BodyBytes is unchanged.
func (r Receipt) withoutBody() Receipt {
	r.Body = nil
	return r
}

// headerBytes returns the size of one header, counting its name once per value.
func headerBytes(name string, values []string) int {
	n := 0
	for _, v := range values {
		n += len(name) + len(v)
	}
	return n
}
