package expirer

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"
)

// BenchmarkHeld reports what an open connection holds, the caller's end in the same process
// included: with nothing sent, with an incomplete head of the largest size that many
// platforms allow as one line, and with one of many lines.
func BenchmarkHeld(b *testing.B) {
	var lines strings.Builder
	for i := 0; lines.Len() < 16<<10-64; i++ {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	const start = "GET / HTTP/1.1\r\nHost: x\r\n"
	for name, sent := range map[string]string{
		"silent": "", "ordinary": start, "long line": start + "A: " + strings.Repeat("x", 16<<10-64), "many lines": start + lines.String(),
	} {
		b.Run(name, func(b *testing.B) {
			const conns = 500
			f := newFront(b, Limits{Header: time.Minute, Idle: time.Minute}, 0)
			before := inUse()
			for range conns {
				c := f.dial()
				if _, err := c.Write([]byte(sent)); err != nil {
					b.Fatal(err)
				}
			}
			time.Sleep(time.Second)
			b.ReportMetric(float64(inUse()-before)/conns, "B/conn")
			b.ReportMetric(float64(strings.Count(sent, "\n")), "lines")
		})
	}
}

// inUse returns the bytes of memory that the process has in use.
func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
