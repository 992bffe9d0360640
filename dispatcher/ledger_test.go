package dispatcher

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

// drawResult generates a possible result of an attempt that was sent or not.
func drawResult(t *rapid.T, sent bool) result {
	err := errors.New("broken")
	if !sent {
		return unsent{err}
	}
	return rapid.SampledFrom([]result{
		staleConn{err}, lost{err: err}, lost{err: err, advanced: true}, unresumable{err},
		errorStatus{500}, errorStatus{429}, complete{},
	}).Draw(t, "result")
}

// TestLedger checks, for any sequence of attempt results, that a non-idempotent
// request is sent at most once, that a refusal says "not run" only if nothing
// was sent, and that the request ends.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := ledger{nonIdempotent: rapid.Bool().Draw(t, "nonIdempotent")}
		sends := 0
		for range maxAttempts {
			sent := rapid.Bool().Draw(t, "sent")
			if sent {
				if l.recordSend() != nil {
					t.Fatal("a further attempt was allowed but its send was forbidden")
				}
				sends++
			}
			switch s := l.next(drawResult(t, sent)).(type) {
			case deliver:
				if sends == 0 {
					t.Fatal("an answer was delivered without a send")
				}
				return
			case giveUp:
				if s.refusal.IsNotRun() != (sends == 0) {
					t.Fatalf("after %d sends, notRun is %v", sends, s.refusal.IsNotRun())
				}
				return
			case retryFresh, retryOther:
				if l.nonIdempotent && sends > 0 {
					t.Fatal("a non-idempotent request was retried after a send")
				}
			}
		}
		t.Fatal("the request did not end")
	})
}

func TestLedgerForbidsSecondSend(t *testing.T) {
	l := ledger{nonIdempotent: true}
	if err := l.recordSend(); err != nil {
		t.Fatal(err)
	}
	if err := l.recordSend(); !errors.Is(err, errSent) {
		t.Errorf("second send: got %v", err)
	}
}
