package dispatcher

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// drawResult draws what may become of an attempt that was sent or not.
func drawResult(t *rapid.T, sent bool) result {
	err := errors.New("broken")
	if !sent {
		return unsent{err}
	}
	return rapid.SampledFrom([]result{
		silent{err}, lost{err: err}, lost{err: err, advanced: true}, cutOff{err},
		answered{500}, answered{429}, whole{},
	}).Draw(t, "result")
}

// TestLedger checks, under any interleaving of attempt outcomes, that a
// non-idempotent request is sent at most once, that a refusal says "not run"
// only where nothing was sent, and that the request ends.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := ledger{nonIdempotent: rapid.Bool().Draw(t, "nonIdempotent")}
		sends := 0
		for range maxAttempts {
			sent := rapid.Bool().Draw(t, "sent")
			if sent {
				if l.send() != nil {
					t.Fatal("a further attempt was allowed and could not be sent")
				}
				sends++
			}
			switch s := l.next(drawResult(t, sent)).(type) {
			case deliver:
				if sends == 0 {
					t.Fatal("delivered an answer without a send")
				}
				return
			case giveUp:
				if s.refusal.IsNotRun() != (sends == 0) {
					t.Fatalf("%d sends and notRun is %v", sends, s.refusal.IsNotRun())
				}
				return
			case tryFresh, tryOther:
				if l.nonIdempotent && sends > 0 {
					t.Fatal("a non-idempotent request is tried again after a send")
				}
			}
		}
		t.Fatal("the request did not end")
	})
}

func TestLedgerForbidsSecondSend(t *testing.T) {
	l := ledger{nonIdempotent: true}
	if err := l.send(); err != nil {
		t.Fatal(err)
	}
	if err := l.send(); !errors.Is(err, errSent) {
		t.Errorf("second send: got %v", err)
	}
}
