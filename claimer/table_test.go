package claimer

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"cyclamenhub.org/identifier"
)

// testHorizon is the horizon of the claims in these tests.
const testHorizon = 10 * time.Second

// testClaim returns a claim with the given key and body and with token and
// request id number n.
func testClaim(key, body, n int) Claim {
	c := Claim{
		Customer: "foodbank", Key: identifier.IdempotencyKey(fmt.Sprintf("k-%d", key)),
		Service: "dossierbeheer", Route: "POST /filings",
		Request: identifier.RequestID(fmt.Sprintf("r-%d", n)), Horizon: testHorizon, RunFor: time.Second,
	}
	c.Digest[0], c.Token[0] = byte(body), byte(n+1)
	return c
}

// testReceipt returns the receipt number n.
func testReceipt(n int) Receipt {
	body := fmt.Sprintf("filing %d", n)
	return Receipt{
		Status: http.StatusCreated, Header: http.Header{"Location": {fmt.Sprintf("/filings/%d", n)}},
		Body: []byte(body), BodyBytes: int64(len(body)),
	}
}

// applyEvent encodes ev, applies it as a log entry and returns the decoded
// answer.
func applyEvent(t interface{ Fatal(...any) }, table *Table, ev Event) answer {
	entry, err := EncodeEvent(ev)
	if err != nil {
		t.Fatal(err)
	}
	a, err := decodeAnswer(table.Apply(entry)[0])
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// advanceClock advances the table's clock by d.
func advanceClock(t interface{ Fatal(...any) }, table *Table, d time.Duration) {
	applyEvent(t, table, Advance{Term: 1, Step: table.lastAdvance.Step + 1, Elapsed: d})
}

// restoredCopy returns a table restored from a snapshot of table and checks
// that both are equal.
func restoredCopy(t interface{ Fatal(...any) }, table *Table) *Table {
	var r Table
	if err := r.Restore(table.Snapshot()); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(table.Snapshot(), r.Snapshot()) || table.Len() != r.Len() || table.ReceiptBytes() != r.ReceiptBytes() {
		t.Fatal("the restored table differs")
	}
	return &r
}

// grant is the expected state of a held key: its token and body, when it was
// granted, and its receipt if it is settled.
type grant struct {
	token   Token
	body    int
	at      time.Duration
	receipt *Receipt
}

// TestKeysAreGrantedAtMostOnce applies claims, receipts, releases and clock
// steps in random order, with repetitions and restarts, and compares the
// answers with a model.
func TestKeysAreGrantedAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := &Table{}
		granted := map[identifier.IdempotencyKey]*grant{}
		released := map[Token]bool{}
		var now time.Duration
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			n := rapid.IntRange(0, 7).Draw(t, "token")
			// The token determines key and body, so that repeated entries are
			// equal.
			key, body := n%2, (n/2)%2
			c := testClaim(key, body, n)
			held := granted[c.Key]
			if held != nil && held.at+testHorizon < now {
				delete(granted, c.Key)
				held = nil
			}
			switch rapid.SampledFrom([]string{"claim", "claim", "settle", "release", "abandon", "advance", "restart"}).Draw(t, "op") {
			case "claim":
				got := applyEvent(t, table, acquireOf(&c))
				if held == nil && got == (notHeld{}) && released[c.Token] {
					continue
				}
				checkClaim(t, got, held, c, body)
				if held == nil {
					granted[c.Key] = &grant{token: c.Token, body: body, at: now}
				}
			case "settle":
				r := testReceipt(n)
				if applyEvent(t, table, settle{keyDigest: c.keyDigest(), token: c.Token, receipt: r}) != (acknowledged{}) {
					continue
				}
				if held == nil || held.token != c.Token {
					t.Fatalf("token %d settled a claim that it does not hold", n)
				}
				if held.receipt == nil {
					held.receipt = &r
				}
			case "release":
				released[c.Token] = true
				if applyEvent(t, table, release{keyDigest: c.keyDigest(), token: c.Token}) == (acknowledged{}) {
					if held == nil || held.token != c.Token || held.receipt != nil {
						t.Fatalf("token %d released a claim that it does not hold", n)
					}
					delete(granted, c.Key)
				}
			case "abandon":
				applyEvent(t, table, abandon{keyDigest: c.keyDigest(), token: c.Token})
			case "advance":
				step := time.Duration(rapid.IntRange(0, 8).Draw(t, "seconds")) * time.Second
				advanceClock(t, table, step)
				now += step
			case "restart":
				table = restoredCopy(t, table)
			}
		}
	})
}

// checkClaim checks that the model allows the answer got.
func checkClaim(t *rapid.T, got answer, held *grant, c Claim, body int) {
	switch {
	case held == nil:
		if got != (Granted{}) {
			t.Fatalf("a free key got %T", got)
		}
	case held.body != body:
		if got != (Reused{}) {
			t.Fatalf("another action under the key got %T", got)
		}
	case held.receipt != nil:
		if diff := cmp.Diff(answer(Settled{Receipt: *held.receipt}), got); diff != "" {
			t.Fatalf("a settled key (-want +got):\n%s", diff)
		}
	case held.token != c.Token:
		if got == (Granted{}) {
			t.Fatalf("the key was granted to %x and to %x", held.token[0], c.Token[0])
		}
	}
}

func TestAnswersToLaterClaims(t *testing.T) {
	first, second, other := testClaim(1, 1, 1), testClaim(1, 1, 2), testClaim(1, 2, 3)
	var table Table
	if got := applyEvent(t, &table, acquireOf(&first)); got != (Granted{}) {
		t.Fatalf("first claim: %#v", got)
	}
	for _, tt := range []struct {
		name  string
		after time.Duration
		event Event
		claim Claim
		want  answer
	}{
		{"while the action runs", 0, nil, second, InProgress{Request: "r-1"}},
		{"another action", 0, nil, other, Reused{}},
		{"the answer to the first claim was lost", 0, nil, first, Granted{}},
		{"after the run time has passed", 2 * time.Second, nil, second, OutcomeUnknown{}},
		{"after a late receipt", 0, settle{keyDigest: first.keyDigest(), token: first.Token, receipt: testReceipt(1)}, second, Settled{Receipt: testReceipt(1)}},
		{"after another receipt", 0, settle{keyDigest: first.keyDigest(), token: first.Token, receipt: testReceipt(2)}, second, Settled{Receipt: testReceipt(1)}},
		{"at the horizon", 8 * time.Second, nil, second, Settled{Receipt: testReceipt(1)}},
		{"after the horizon", time.Nanosecond, nil, second, Granted{}},
		{"released by the first claim", 0, release{keyDigest: first.keyDigest(), token: first.Token}, first, InProgress{Request: "r-2"}},
		{"abandoned", 0, abandon{keyDigest: second.keyDigest(), token: second.Token}, first, OutcomeUnknown{}},
		{"released after it was abandoned", 0, release{keyDigest: second.keyDigest(), token: second.Token}, first, OutcomeUnknown{}},
	} {
		advanceClock(t, &table, tt.after)
		if tt.event != nil {
			applyEvent(t, &table, tt.event)
		}
		if diff := cmp.Diff(tt.want, applyEvent(t, &table, acquireOf(&tt.claim))); diff != "" {
			t.Errorf("%s (-want +got):\n%s", tt.name, diff)
		}
	}
}

func TestLateEntriesClaimNothingForAnEndedCall(t *testing.T) {
	ended, next := testClaim(1, 1, 1), testClaim(1, 1, 2)
	var table Table
	applyEvent(t, &table, release{keyDigest: ended.keyDigest(), token: ended.Token})
	restored := restoredCopy(t, &table)
	if got := applyEvent(t, restored, acquireOf(&ended)); got != (notHeld{}) {
		t.Errorf("claim whose release was applied first: %#v, want notHeld", got)
	}
	if got := applyEvent(t, restored, acquireOf(&next)); got != (Granted{}) {
		t.Errorf("next call: %#v, want Granted", got)
	}
	advanceClock(t, restored, releasedTokenTTL)
	advanceClock(t, restored, time.Second)
	if n := len(restored.releasedTokens.set) + len(restored.releasedTokens.order); n != 0 {
		t.Errorf("%d released tokens are remembered after they expired", n)
	}
	for range maxReleasedTokens + 10 {
		restored.releasedTokens.add(NewToken(), time.Hour)
	}
	if n := len(restored.releasedTokens.set); n != maxReleasedTokens || len(restored.releasedTokens.order) != n {
		t.Errorf("%d released tokens are remembered, want %d", n, maxReleasedTokens)
	}
}

func TestTableIsBounded(t *testing.T) {
	var table Table
	applyEvent(t, &table, SetBounds{Claims: 8, ReceiptBytes: 40})
	claim := func(customer identifier.Customer, n int) answer {
		c := testClaim(n, 0, n)
		c.Customer = customer
		return applyEvent(t, &table, acquireOf(&c))
	}
	for n, want := range []answer{Granted{}, Granted{}, full{}} {
		if got := claim("large", n); got != want {
			t.Errorf("claim %d of one customer: %T, want %T", n, got, want)
		}
	}
	for n, want := range []answer{Granted{}, Granted{}, Granted{}, Granted{}, Granted{}, Granted{}, full{}} {
		if got := claim(identifier.Customer(fmt.Sprintf("small-%d", n)), n); got != want {
			t.Errorf("claim of customer %d: %T, want %T", n, got, want)
		}
	}
	advanceClock(t, &table, testHorizon+1)
	if got := claim("large", 2); got != (Granted{}) {
		t.Errorf("claim once the others have expired: %T", got)
	}
	if len(table.customers) != 1 || table.Len() != 1 || len(table.order) != 1 {
		t.Errorf("%d customers, %d claims and %d records are left, want one each", len(table.customers), table.Len(), len(table.order))
	}
}

func TestReceiptsAreBounded(t *testing.T) {
	var table Table
	applyEvent(t, &table, SetBounds{ReceiptBytes: 100})
	for n, tt := range []struct {
		body int
		want bool
	}{{60, true}, {60, false}, {10, true}} {
		c := testClaim(n, 0, n)
		applyEvent(t, &table, acquireOf(&c))
		receipt := Receipt{Status: 200, Header: http.Header{"Set-Cookie": {"secret"}}, Body: make([]byte, tt.body)}
		applyEvent(t, &table, settle{keyDigest: c.keyDigest(), token: c.Token, receipt: receipt})
		c.Token = NewToken()
		got, _ := applyEvent(t, &table, acquireOf(&c)).(Settled)
		if got.Receipt.HasFullBody() != tt.want || got.Receipt.BodyBytes != int64(tt.body) || len(got.Receipt.Header) != 0 {
			t.Errorf("receipt %d: HasFullBody is %v, want %v; BodyBytes is %d and the headers are %v", n, got.Receipt.HasFullBody(), tt.want, got.Receipt.BodyBytes, got.Receipt.Header)
		}
	}
	large := Receipt{Body: make([]byte, MaxReceiptBody+1)}.bounded()
	if large.HasFullBody() || large.BodyBytes != MaxReceiptBody+1 {
		t.Errorf("a body of %d bytes is kept as %d bytes", MaxReceiptBody+1, len(large.Body))
	}
}

func TestReleasedRecordsAreCompacted(t *testing.T) {
	var table Table
	for range 10 * minCompaction {
		c := testClaim(1, 0, 1)
		c.Token = NewToken()
		table.reduce(acquireOf(&c))
		table.reduce(release{keyDigest: c.keyDigest(), token: c.Token})
	}
	if n := len(table.order); n > 2*minCompaction {
		t.Errorf("%d released records are kept, want at most %d", n, 2*minCompaction)
	}
}

func TestMalformedClaimsAreRefused(t *testing.T) {
	for name, change := range map[string]func(*Claim){
		"no token":                   func(c *Claim) { c.Token = Token{} },
		"no horizon":                 func(c *Claim) { c.Horizon = 0 },
		"runs longer than it's held": func(c *Claim) { c.RunFor = c.Horizon },
		"no customer":                func(c *Claim) { c.Customer = "" },
	} {
		c := testClaim(1, 1, 1)
		change(&c)
		var table Table
		if got, ok := applyEvent(t, &table, acquireOf(&c)).(malformed); !ok || got.problem == "" {
			t.Errorf("%s: %#v, want a refusal", name, got)
		}
	}
}
