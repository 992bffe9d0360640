package forwarder

import (
	"io"
	"log/slog"
	"net/http"
	"slices"
	"testing"

	"cyclamenhub.org/internal/logger"
)

// BenchmarkCall measures a call through one host, including the caller and the
// backend server, without logs and with logs.
func BenchmarkCall(b *testing.B) {
	for _, withLogs := range []bool{false, true} {
		name := "withoutLogs"
		if withLogs {
			name = "withLogs"
		}
		b.Run(name, func(b *testing.B) {
			h := newHarness(b, slices.Repeat([]string{sealedResponse(http.StatusOK, idLine("id-1"), "x")}, b.N)...)
			if withLogs {
				l := logger.New(io.Discard, logger.Options{Rate: b.N})
				defer l.Close()
				h.opts.Log = slog.New(l)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if res := h.call(b, http.MethodPost, "/file/1", "key", "x"); res.status != http.StatusOK {
					b.Fatalf("a call gets %d", res.status)
				}
			}
		})
	}
}
