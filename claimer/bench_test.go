package claimer

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"
	"time"

	"cyclamenhub.org/identifier"
)

// tableSizes lists the numbers of held claims to measure.
var tableSizes = []int{1_000, 10_000, 100_000, 1_000_000}

// nthClaim returns the claim number n, with ids of realistic length.
func nthClaim(n int) Claim {
	c := Claim{
		Customer: identifier.Customer(fmt.Sprintf("customer-%d", n%8)), Key: identifier.IdempotencyKey(fmt.Sprintf("0192f3a1-7c2e-7f4a-%016x", n)),
		Service: "studio-desk", Route: "POST /invoices", Request: identifier.RequestID(fmt.Sprintf("r-%032x", n)),
		Horizon: 24 * time.Hour, RunFor: 30 * time.Second,
	}
	binary.BigEndian.PutUint64(c.Token[:], uint64(n)+1)
	return c
}

// newSizedReceipt returns a receipt with a body of the given size.
func newSizedReceipt(bytes int) Receipt {
	return Receipt{Status: 201, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, bytes), BodyBytes: int64(bytes)}
}

// newFilledTable returns a table that holds n claims. Each claim is settled
// with a body of the given number of bytes, or not settled if bytes is
// negative.
func newFilledTable(n, bytes int) *Table {
	t := &Table{bounds: SetBounds{Claims: 8 * n, ReceiptBytes: 1 << 40}}
	for i := range n {
		c := nthClaim(i)
		t.reduce(acquireOf(&c))
		if bytes >= 0 {
			t.reduce(settle{keyDigest: c.keyDigest(), token: c.Token, receipt: newSizedReceipt(bytes)})
		}
	}
	return t
}

// BenchmarkApply measures applying the two entries of one settled claim,
// including their decoding.
func BenchmarkApply(b *testing.B) {
	for _, n := range tableSizes {
		b.Run(fmt.Sprintf("held=%d", n), func(b *testing.B) {
			t := newFilledTable(n, -1)
			entries := make([][]byte, 0, 2*b.N)
			for i := range b.N {
				c := nthClaim(n + i)
				for _, ev := range []Event{acquireOf(&c), settle{keyDigest: c.keyDigest(), token: c.Token, receipt: newSizedReceipt(200)}} {
					entry, err := EncodeEvent(ev)
					if err != nil {
						b.Fatal(err)
					}
					entries = append(entries, entry)
				}
			}
			t.bounds.Claims = 8 * (n + b.N)
			b.ReportAllocs()
			b.ResetTimer()
			for _, entry := range entries {
				t.Apply(entry)
			}
			b.ReportMetric(float64(len(entries[0])+len(entries[1])), "logB/op")
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range tableSizes {
		b.Run(fmt.Sprintf("held=%d", n), func(b *testing.B) {
			t := newFilledTable(n, 200)
			b.ResetTimer()
			for range b.N {
				b.ReportMetric(float64(len(t.Snapshot()))/float64(n), "B/claim")
			}
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	for _, n := range tableSizes {
		b.Run(fmt.Sprintf("held=%d", n), func(b *testing.B) {
			snapshot := newFilledTable(n, 200).Snapshot()
			b.ResetTimer()
			for range b.N {
				if err := new(Table).Restore(snapshot); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMemory measures the heap size of a held claim without a receipt and
// with a receipt of 200 bytes.
func BenchmarkMemory(b *testing.B) {
	for _, bytes := range []int{-1, 200} {
		for _, n := range tableSizes[1:] {
			b.Run(fmt.Sprintf("receipt=%d/held=%d", bytes, n), func(b *testing.B) {
				for range b.N {
					before := heapBytes()
					t := newFilledTable(n, bytes)
					b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/claim")
					runtime.KeepAlive(t)
				}
			})
		}
	}
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
