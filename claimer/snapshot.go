package claimer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire/claimwire"
)

// Snapshot returns the encoding of the table. Equal tables have equal
// encodings.
func (t *Table) Snapshot() []byte {
	var b bytes.Buffer
	header := &claimwire.Table{
		NowNs: int64(t.now), BoundClaims: int64(t.bounds.Claims), BoundReceiptBytes: t.bounds.ReceiptBytes,
		Records: int64(len(t.order) - t.releasedRecords), Last: wireAdvance(t.lastAdvance),
	}
	for _, s := range t.releasedTokens.order {
		header.Spent = append(header.Spent, &claimwire.SpentToken{Token: s.token[:], UntilNs: int64(s.expires)})
	}
	mustWrite(&b, header)
	for _, r := range t.order {
		if r.state != stateReleased {
			mustWrite(&b, wireRecord(r))
		}
	}
	return b.Bytes()
}

// Restore replaces t with the table that the snapshot b encodes. On an error, t
// is unchanged.
func (t *Table) Restore(b []byte) error {
	r := bytes.NewReader(b)
	var header claimwire.Table
	if err := protodelim.UnmarshalFrom(r, &header); err != nil {
		return fmt.Errorf("snapshot of claims is malformed: %w: restore this replica from its peers", err)
	}
	restored := Table{
		now:         time.Duration(header.NowNs),
		lastAdvance: decodeAdvance(header.Last),
		bounds:      SetBounds{Claims: int(header.BoundClaims), ReceiptBytes: header.BoundReceiptBytes},
	}
	for _, s := range header.Spent {
		if len(s.Token) != idBytes {
			return fmt.Errorf("snapshot of claims: %w", idError("released token", s.Token))
		}
		restored.releasedTokens.add(Token(s.Token), time.Duration(s.UntilNs))
	}
	for n := range header.Records {
		var m claimwire.Record
		if err := protodelim.UnmarshalFrom(r, &m); err != nil {
			return fmt.Errorf("snapshot of claims: cannot read record %d of %d: %w: restore this replica from its peers", n, header.Records, err)
		}
		record, err := restored.decodeRecord(&m)
		if err != nil {
			return fmt.Errorf("snapshot of claims, record %d: %w", n, err)
		}
		restored.add(record)
	}
	if _, err := r.ReadByte(); !errors.Is(err, io.EOF) {
		return errors.New("snapshot of claims has trailing data: restore this replica from its peers")
	}
	*t = restored
	return nil
}

// wireRecord converts r to its protobuf message.
func wireRecord(r *record) *claimwire.Record {
	return &claimwire.Record{
		Customer: string(r.usage.customer), Name: r.keyDigest[:], Binding: r.binding[:], Request: string(r.request), Token: r.token[:],
		ExpiresNs: int64(r.expires), RunsUntilNs: int64(r.runDeadline), Lost: r.state == stateOutcomeUnknown,
		Settled: r.state == stateSettled, Receipt: r.receipt,
	}
}

// decodeRecord converts m to a record and checks it.
func (t *Table) decodeRecord(m *claimwire.Record) (*record, error) {
	key, token, err := decodeKeyAndToken(m.Name, m.Token)
	if err != nil {
		return nil, err
	}
	if len(m.Binding) != idBytes {
		return nil, idError("binding", m.Binding)
	}
	if _, ok := t.held[key]; ok {
		return nil, errors.New("the key occurs twice in the snapshot: restore this replica from its peers")
	}
	r := &record{
		keyDigest: key, binding: binding(m.Binding), token: token, request: identifier.RequestID(m.Request),
		expires: time.Duration(m.ExpiresNs), runDeadline: time.Duration(m.RunsUntilNs),
		usage: t.usageOf(identifier.Customer(m.Customer)),
	}
	switch {
	case m.Settled:
		receipt, err := parseReceipt(m.Receipt)
		if err != nil {
			return nil, err
		}
		r.state, r.receipt = stateSettled, encodeReceipt(receipt)
	case m.Lost:
		r.state = stateOutcomeUnknown
	}
	return r, nil
}

// mustWrite appends a message, preceded by its length, to b.
func mustWrite(b *bytes.Buffer, m proto.Message) {
	if _, err := protodelim.MarshalTo(b, m); err != nil {
		// This cannot fail: writing to a buffer succeeds, and the strings come
		// from decoded messages, so they are valid UTF-8.
		panic(fmt.Sprintf("snapshot of claims: %v", err))
	}
}
