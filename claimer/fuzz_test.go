package claimer

import (
	"bytes"
	"testing"
	"time"
)

func FuzzApply(f *testing.F) {
	c := testClaim(1, 1, 1)
	for _, ev := range []Event{
		acquireOf(&c), settle{name: c.name(), token: c.Token, receipt: testReceipt(1)},
		release{name: c.name(), token: c.Token}, abandon{name: c.name(), token: c.Token},
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
		send(t, table, acquireOf(&c))
		table.Apply(2, entry)
		restarted(t, table)
	})
}

func FuzzRestore(f *testing.F) {
	var table Table
	for n := range 3 {
		c := testClaim(n, 1, n)
		send(f, &table, acquireOf(&c))
	}
	settled, lost := testClaim(0, 1, 0), testClaim(1, 1, 1)
	send(f, &table, settle{name: settled.name(), token: settled.Token, receipt: testReceipt(1)})
	send(f, &table, abandon{name: lost.name(), token: lost.Token})
	f.Add(table.Snapshot())
	f.Add(table.Snapshot()[:30])
	f.Fuzz(func(t *testing.T, b []byte) {
		var table Table
		if table.Restore(b) != nil {
			if table.Len() != 0 {
				t.Fatal("a refused snapshot left claims behind")
			}
			return
		}
		if !bytes.Equal(restarted(t, &table).Snapshot(), table.Snapshot()) {
			t.Fatal("a restored table differs")
		}
	})
}
