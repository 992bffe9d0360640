package claimer

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire/claimwire"
)

// EncodeEvent encodes ev as a log entry. It returns an error if ev has no
// encoding or cannot be marshalled.
func EncodeEvent(ev Event) ([]byte, error) {
	m, err := wireEvent(ev)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(m)
}

// wireEvent converts ev to its protobuf message.
func wireEvent(ev Event) (*claimwire.Event, error) {
	switch ev := ev.(type) {
	case acquire:
		return &claimwire.Event{Event: &claimwire.Event_Acquire{Acquire: &claimwire.Acquire{
			Customer: string(ev.customer), Name: ev.keyDigest[:], Binding: ev.binding[:], Request: string(ev.request),
			Token: ev.token[:], HorizonNs: int64(ev.horizon), RunForNs: int64(ev.runFor),
		}}}, nil
	case settle:
		return &claimwire.Event{Event: &claimwire.Event_Settle{Settle: &claimwire.Settle{
			Name: ev.keyDigest[:], Token: ev.token[:], Receipt: wireReceipt(&ev.receipt),
		}}}, nil
	case release:
		return &claimwire.Event{Event: &claimwire.Event_Release{Release: &claimwire.Release{Name: ev.keyDigest[:], Token: ev.token[:]}}}, nil
	case abandon:
		return &claimwire.Event{Event: &claimwire.Event_Abandon{Abandon: &claimwire.Abandon{Name: ev.keyDigest[:], Token: ev.token[:]}}}, nil
	case Advance:
		return &claimwire.Event{Event: &claimwire.Event_Advance{Advance: wireAdvance(ev)}}, nil
	case SetBounds:
		return &claimwire.Event{Event: &claimwire.Event_SetBounds{SetBounds: &claimwire.SetBounds{
			Claims: int64(ev.Claims), ReceiptBytes: ev.ReceiptBytes,
		}}}, nil
	default:
		return nil, fmt.Errorf("event %T has no encoding: add it to the codec", ev)
	}
}

// DecodeEvent decodes a log entry that EncodeEvent produced. It returns an
// error if the entry is malformed or has an unknown type.
func DecodeEvent(b []byte) (Event, error) {
	var m claimwire.Event
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("log entry is no event of a claim group: %w: run the version that wrote it", err)
	}
	switch e := m.Event.(type) {
	case *claimwire.Event_Acquire:
		return decodeAcquire(e.Acquire)
	case *claimwire.Event_Settle:
		key, token, err := decodeKeyAndToken(e.Settle.Name, e.Settle.Token)
		return settle{keyDigest: key, token: token, receipt: decodeReceipt(e.Settle.Receipt)}, err
	case *claimwire.Event_Release:
		key, token, err := decodeKeyAndToken(e.Release.Name, e.Release.Token)
		return release{keyDigest: key, token: token}, err
	case *claimwire.Event_Abandon:
		key, token, err := decodeKeyAndToken(e.Abandon.Name, e.Abandon.Token)
		return abandon{keyDigest: key, token: token}, err
	case *claimwire.Event_Advance:
		return decodeAdvance(e.Advance), nil
	case *claimwire.Event_SetBounds:
		return SetBounds{Claims: int(e.SetBounds.Claims), ReceiptBytes: e.SetBounds.ReceiptBytes}, nil
	default:
		return nil, fmt.Errorf("log entry has the unknown type %T: upgrade this keeper", e)
	}
}

// wireAdvance converts ev to its protobuf message.
func wireAdvance(ev Advance) *claimwire.Advance {
	return &claimwire.Advance{Term: uint64(ev.Term), Step: ev.Step, ElapsedNs: int64(ev.Elapsed)}
}

// decodeAdvance converts m to an Advance; a nil m gives the zero value.
func decodeAdvance(m *claimwire.Advance) Advance {
	return Advance{Term: identifier.Term(m.GetTerm()), Step: m.GetStep(), Elapsed: time.Duration(m.GetElapsedNs())}
}

// decodeAcquire converts m to an acquire event and checks it.
func decodeAcquire(m *claimwire.Acquire) (Event, error) {
	key, token, err := decodeKeyAndToken(m.Name, m.Token)
	if err != nil {
		return nil, err
	}
	if len(m.Binding) != idBytes {
		return nil, idError("binding", m.Binding)
	}
	ev := acquire{
		customer: identifier.Customer(m.Customer), keyDigest: key, binding: binding(m.Binding), request: identifier.RequestID(m.Request),
		token: token, horizon: time.Duration(m.HorizonNs), runFor: time.Duration(m.RunForNs),
	}
	return ev, ev.check()
}

// decodeKeyAndToken checks the sizes of the key digest and token of a claim and
// converts them. The messages call the key digest the name of a claim.
func decodeKeyAndToken(key, token []byte) (keyDigest, Token, error) {
	if len(key) != idBytes {
		return keyDigest{}, Token{}, idError("name", key)
	}
	if len(token) != idBytes {
		return keyDigest{}, Token{}, idError("token", token)
	}
	return keyDigest(key), Token(token), nil
}

// idError returns the error for an id of the wrong size.
func idError(what string, b []byte) error {
	return fmt.Errorf("the %s of a claim has %d bytes instead of %d: run one version on every host", what, len(b), idBytes)
}

// wireReceipt converts r to its protobuf message, with the headers sorted by
// name.
func wireReceipt(r *Receipt) *claimwire.Receipt {
	m := &claimwire.Receipt{Status: int32(r.Status), Body: r.Body, BodyBytes: r.BodyBytes}
	for _, name := range slices.Sorted(maps.Keys(r.Header)) {
		m.Header = append(m.Header, &claimwire.Field{Name: name, Values: r.Header[name]})
	}
	return m
}

// decodeReceipt converts m to a Receipt and enforces the bounds of receipts.
func decodeReceipt(m *claimwire.Receipt) Receipt {
	r := Receipt{Status: int(m.GetStatus()), Header: make(http.Header), Body: m.GetBody(), BodyBytes: m.GetBodyBytes()}
	for _, f := range m.GetHeader() {
		r.Header[f.Name] = f.Values
	}
	return r.bounded()
}

// encodeReceipt returns the encoding of r that a table stores. Equal receipts
// have equal encodings.
func encodeReceipt(r Receipt) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(wireReceipt(&r))
	if err != nil {
		// Marshalling cannot fail: the strings come from decoded messages, so
		// they are valid UTF-8.
		panic(fmt.Sprintf("receipt: %v", err))
	}
	return b
}

// parseReceipt decodes the output of encodeReceipt.
func parseReceipt(b []byte) (Receipt, error) {
	var m claimwire.Receipt
	if err := proto.Unmarshal(b, &m); err != nil {
		return Receipt{}, fmt.Errorf("a receipt is malformed: %w: restore this replica from its peers", err)
	}
	return decodeReceipt(&m), nil
}

// mustDecodeReceipt decodes a receipt that a table stores. It panics if the
// receipt is malformed.
func mustDecodeReceipt(b []byte) Receipt {
	r, err := parseReceipt(b)
	if err != nil {
		panic(err)
	}
	return r
}
