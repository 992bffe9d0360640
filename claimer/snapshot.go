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

// Snapshot returns the table as bytes. Equal tables give equal bytes.
func (t *Table) Snapshot() []byte {
	var b bytes.Buffer
	head := &claimwire.Table{
		NowNs: int64(t.now), BoundClaims: int64(t.bounds.Claims), BoundReceiptBytes: t.bounds.ReceiptBytes,
		Records: int64(len(t.order) - t.released), Last: wireAdvance(t.last),
	}
	for _, s := range t.spent.order {
		head.Spent = append(head.Spent, &claimwire.SpentToken{Token: s.token[:], UntilNs: int64(s.until)})
	}
	mustWrite(&b, head)
	for _, r := range t.order {
		if r.state != stateReleased {
			mustWrite(&b, wireRecord(r))
		}
	}
	return b.Bytes()
}

// Restore replaces t by the table that b holds. On an error t stays as it is.
func (t *Table) Restore(b []byte) error {
	r := bytes.NewReader(b)
	var head claimwire.Table
	if err := protodelim.UnmarshalFrom(r, &head); err != nil {
		return fmt.Errorf("snapshot of claims is malformed: %w: restore this replica from its peers", err)
	}
	restored := Table{
		now:    time.Duration(head.NowNs),
		last:   decodeAdvance(head.Last),
		bounds: SetBounds{Claims: int(head.BoundClaims), ReceiptBytes: head.BoundReceiptBytes},
	}
	for _, s := range head.Spent {
		if len(s.Token) != idBytes {
			return fmt.Errorf("snapshot of claims: %w", idError("spent token", s.Token))
		}
		restored.spent.add(Token(s.Token), time.Duration(s.UntilNs))
	}
	for n := range head.Records {
		var m claimwire.Record
		if err := protodelim.UnmarshalFrom(r, &m); err != nil {
			return fmt.Errorf("snapshot of claims breaks off at record %d of %d: %w: restore this replica from its peers", n, head.Records, err)
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

// wireRecord returns the message of r.
func wireRecord(r *record) *claimwire.Record {
	return &claimwire.Record{
		Customer: string(r.owner.customer), Name: r.name[:], Binding: r.binding[:], Request: string(r.request), Token: r.token[:],
		ExpiresNs: int64(r.expires), RunsUntilNs: int64(r.runsUntil), Lost: r.state == stateLost,
		Settled: r.state == stateSettled, Receipt: r.receipt,
	}
}

// decodeRecord reads and checks one record.
func (t *Table) decodeRecord(m *claimwire.Record) (*record, error) {
	n, token, err := decodeHold(m.Name, m.Token)
	if err != nil {
		return nil, err
	}
	if len(m.Binding) != idBytes {
		return nil, idError("binding", m.Binding)
	}
	if _, twice := t.held[n]; twice {
		return nil, errors.New("the key is held twice: restore this replica from its peers")
	}
	r := &record{
		name: n, binding: binding(m.Binding), token: token, request: identifier.RequestID(m.Request),
		expires: time.Duration(m.ExpiresNs), runsUntil: time.Duration(m.RunsUntilNs),
		owner: t.tallyOf(identifier.Customer(m.Customer)),
	}
	switch {
	case m.Settled:
		receipt, err := parseReceipt(m.Receipt)
		if err != nil {
			return nil, err
		}
		r.state, r.receipt = stateSettled, encodeReceipt(receipt)
	case m.Lost:
		r.state = stateLost
	}
	return r, nil
}

// mustWrite appends a message with its length.
func mustWrite(b *bytes.Buffer, m proto.Message) {
	if _, err := protodelim.MarshalTo(b, m); err != nil {
		// A buffer takes every write, and the strings come from decoded messages.
		panic(fmt.Sprintf("snapshot of claims: %v", err))
	}
}
