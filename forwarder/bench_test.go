package forwarder

import (
	"io"
	"log/slog"
	"net/http"
	"slices"
	"testing"

	"cyclamenhub.org/internal/logger"
)

// BenchmarkCall is a call through one host, caller and backend server included,
// without logs and with them.
func BenchmarkCall(b *testing.B) {
	for _, withLogs := range []bool{false, true} {
		name := "withoutLogs"
		if withLogs {
			name = "withLogs"
		}
		b.Run(name, func(b *testing.B) {
			g := newRig(b, slices.Repeat([]string{plain(http.StatusOK, "", "x")}, b.N)...)
			if withLogs {
				l := logger.New(io.Discard, logger.Options{Rate: b.N})
				defer l.Close()
				g.opts.Log = slog.New(l)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				if res := g.call(b, http.MethodPost, "/file/1", "key", "x"); res.status != http.StatusOK {
					b.Fatalf("a call gets %d", res.status)
				}
			}
		})
	}
}
