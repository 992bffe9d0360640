package forwarder

import (
	"fmt"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

// BenchmarkBody measures calls with bodies of several sizes through one host, including the
// caller and the backend server. peak-B is what the heap has taken from the system by the end.
func BenchmarkBody(b *testing.B) {
	for _, size := range []int{1 << 10, 30 << 10, 256 << 10, 4 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			h := newHarness(b, slices.Repeat([]string{sealedResponse(http.StatusOK, idLine("id-1"), "x")}, b.N)...)
			body := strings.Repeat("x", size)
			b.ReportAllocs()
			b.SetBytes(int64(size))
			b.ResetTimer()
			for range b.N {
				if res := h.call(b, http.MethodPost, "/open/1", "", body); res.status != http.StatusOK {
					b.Fatalf("a call gets %d", res.status)
				}
				h.backends.forget()
			}
			b.StopTimer()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			b.ReportMetric(float64(m.HeapSys), "peak-B")
		})
	}
}

// BenchmarkReadBody measures the reading of a body alone.
func BenchmarkReadBody(b *testing.B) {
	for _, size := range []int{1 << 10, 30 << 10, 256 << 10, 4 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			h := newHarness(b)
			body := strings.Repeat("x", size)
			b.ReportAllocs()
			b.SetBytes(int64(size))
			for range b.N {
				r, err := http.NewRequest(http.MethodPost, "http://127.0.0.1/open/1", strings.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				r.RequestURI = "/open/1"
				x := h.newExchange(discardWriter{}, r)
				x.table = h.Table()
				if refusal := x.readCall(); refusal != nil {
					b.Fatal(refusal.reason)
				}
				x.claim.Release()
			}
		})
	}
}

// discardWriter is an answer that nobody reads.
type discardWriter struct{}

// Header implements http.ResponseWriter.
func (discardWriter) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (discardWriter) WriteHeader(int) {}

// SetReadDeadline is called by http.ResponseController.
func (discardWriter) SetReadDeadline(time.Time) error { return nil }
