package claimer

import (
	"bytes"
	"testing"
	"time"
)

func FuzzApply(f *testing.F) {
	c := testClaim(1, 1, 1)
	for _, ev := range []Event{
		acquireOf(&c), settle{keyDigest: c.keyDigest(), token: c.Token, receipt: testReceipt(1)},
		release{keyDigest: c.keyDigest(), token: c.Token}, abandon{keyDigest: c.keyDigest(), token: c.Token},
		Advance{Term: 2, Step: 3, Elapsed: time.Second}, SetBounds{Claims: 1, ReceiptBytes: 1},
	} {
		b, err := EncodeEvent(ev)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte("no event"))
	f.Fuzz(func(t *testing.T, entry []byte) {
		table := &Table{}
		applyEvent(t, table, acquireOf(&c))
		table.Apply(entry)
		restoredCopy(t, table)
	})
}

func FuzzRestore(f *testing.F) {
	var table Table
	for n := range 3 {
		c := testClaim(n, 1, n)
		applyEvent(f, &table, acquireOf(&c))
	}
	settled, abandoned := testClaim(0, 1, 0), testClaim(1, 1, 1)
	applyEvent(f, &table, settle{keyDigest: settled.keyDigest(), token: settled.Token, receipt: testReceipt(1)})
	applyEvent(f, &table, abandon{keyDigest: abandoned.keyDigest(), token: abandoned.Token})
	f.Add(table.Snapshot())
	f.Add(table.Snapshot()[:30])
	f.Fuzz(func(t *testing.T, b []byte) {
		var table Table
		if table.Restore(b) != nil {
			if table.Len() != 0 {
				t.Fatal("a failed Restore changed the table")
			}
			return
		}
		if !bytes.Equal(restoredCopy(t, &table).Snapshot(), table.Snapshot()) {
			t.Fatal("the restored table differs")
		}
	})
}
