// Package claimer grants each idempotency key at most once, so that a
// non-idempotent request runs at most once.
//
// A request first claims its key, then sends, then settles the claim with a
// receipt before its answer leaves. The first to claim wins; the claim binds
// customer, key, service, route and a digest of the body. A later request
// under the key gets the receipt, or hears that the action is running, or that
// nobody knows; one that differs in what the key binds is refused. A claim
// without a receipt never authorises another send. Recording the intent before
// the action and keeping durable receipts, so that missing evidence stays
// "unknown" and is never replayed, are ideas of the paper "Salt result recovery
// with durable minion receipts".
//
// Table is the replicated state: a pure state machine over the entries of one
// claim group's log. ReplicatedClaimer proposes those entries; MemoryClaimer
// keeps a Table within one process and forgets it, for tests and trials.
//
// # Tokens
//
// Every call of Claim carries a fresh Token, and settling, releasing and
// abandoning carry the same one. Entries may be repeated and delayed: the token
// tells a repetition from a second claim, and keeps a late release of one claim
// from giving back the next.
//
// # Time
//
// The table has a clock of its own, the sum of the Advance entries that the
// Advancer of the group's leader proposes from its monotonic clock. A wall
// clock that jumps on one host therefore lets no claim expire early; time in
// which no leader advances the clock only keeps claims longer. A claim expires once its horizon
// has passed on that clock and all older claims have expired: never early.
//
// # Bounds
//
// A full table refuses new claims; it never drops one that has not expired. One
// customer may hold a quarter of it. A receipt keeps the headers named in
// KeptHeaders and a body of up to MaxReceiptBody bytes; of a larger body, and
// once the table's receipts exceed their bound, it keeps the size alone.
//
// # Usage
//
//	c := claimer.Claim{Token: claimer.NewToken(), Customer: ..., Key: ..., ...}
//	verdict, err := cl.Claim(ctx, c)
//	if err != nil {
//		return err // refused, not run
//	}
//	switch v := verdict.(type) {
//	case claimer.Granted:
//		// send once, then:
//		err = cl.Settle(ctx, c, receipt)
//	case claimer.Settled:
//		// answer with v.Receipt
//	...
//	}
package claimer
