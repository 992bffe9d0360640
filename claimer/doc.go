// Package claimer grants each idempotency key at most once, so that a
// non-idempotent request runs at most once.
//
// The host claims the key of a request, sends the request to a backend server,
// and settles the claim with a receipt before it sends the answer to the
// caller. Only the first claim of a key is granted. The claim binds the
// customer, the key, the service, the route and a digest of the body. A later
// request with the same key gets the receipt, or the verdict that the action is
// in progress or that its outcome is unknown. A request with the same key whose
// service, route or body differs is refused. A claim without a receipt never
// permits a second send. The design follows the paper "Salt result recovery
// with durable minion receipts": the intent is recorded before the action,
// receipts are durable, and an action without a receipt counts as "unknown" and
// is never replayed.
//
// Table is the replicated state: a deterministic state machine that applies the
// log entries of one claim group. ReplicatedClaimer proposes those entries.
// MemoryClaimer keeps a Table in the memory of one process, for tests and
// trials.
//
// # Tokens
//
// Every call of Claim has a new Token, and the calls of Settle, Release and
// Abandon for that claim have the same one. Entries may be repeated and
// delayed. The token distinguishes a repeated entry from a second claim, and it
// prevents a delayed release of one claim from releasing the next claim of the
// key.
//
// # Time
//
// The table has its own clock: the sum of the Advance entries that the Advancer
// of the group's leader proposes, measured with the leader's monotonic clock. A
// jump of the wall clock on one host therefore never makes a claim expire
// early. While no leader advances the clock, claims are only kept longer. A
// claim expires when its horizon has passed on the table's clock and all older
// claims have expired.
//
// # Bounds
//
// A full table refuses new claims and never drops one that has not expired. One
// customer may hold at most a quarter of the table's claims. A receipt keeps
// the headers listed in KeptHeaders and a body of up to MaxReceiptBody bytes.
// If the body is larger, or the receipts of the table would exceed their bound,
// the receipt keeps only the size of the body.
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
