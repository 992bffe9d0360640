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

// EncodeEvent returns ev in the form that the log holds.
func EncodeEvent(ev Event) ([]byte, error) {
	m, err := wireEvent(ev)
	if err != nil {
		return nil, err
	}
	return proto.Marshal(m)
}

// wireEvent returns the message of ev.
func wireEvent(ev Event) (*claimwire.Event, error) {
	switch ev := ev.(type) {
	case acquire:
		return &claimwire.Event{Event: &claimwire.Event_Acquire{Acquire: &claimwire.Acquire{
			Customer: string(ev.customer), Name: ev.name[:], Binding: ev.binding[:], Request: string(ev.request),
			Token: ev.token[:], HorizonNs: int64(ev.horizon), RunForNs: int64(ev.runFor),
		}}}, nil
	case settle:
		return &claimwire.Event{Event: &claimwire.Event_Settle{Settle: &claimwire.Settle{
			Name: ev.name[:], Token: ev.token[:], Receipt: wireReceipt(&ev.receipt),
		}}}, nil
	case release:
		return &claimwire.Event{Event: &claimwire.Event_Release{Release: &claimwire.Release{Name: ev.name[:], Token: ev.token[:]}}}, nil
	case abandon:
		return &claimwire.Event{Event: &claimwire.Event_Abandon{Abandon: &claimwire.Abandon{Name: ev.name[:], Token: ev.token[:]}}}, nil
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

// DecodeEvent reads the form that EncodeEvent writes.
func DecodeEvent(b []byte) (Event, error) {
	var m claimwire.Event
	if err := proto.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("log entry is no event of a claim group: %w: run the version that wrote it", err)
	}
	switch e := m.Event.(type) {
	case *claimwire.Event_Acquire:
		return decodeAcquire(e.Acquire)
	case *claimwire.Event_Settle:
		n, token, err := decodeHold(e.Settle.Name, e.Settle.Token)
		return settle{name: n, token: token, receipt: decodeReceipt(e.Settle.Receipt)}, err
	case *claimwire.Event_Release:
		n, token, err := decodeHold(e.Release.Name, e.Release.Token)
		return release{name: n, token: token}, err
	case *claimwire.Event_Abandon:
		n, token, err := decodeHold(e.Abandon.Name, e.Abandon.Token)
		return abandon{name: n, token: token}, err
	case *claimwire.Event_Advance:
		return decodeAdvance(e.Advance), nil
	case *claimwire.Event_SetBounds:
		return SetBounds{Claims: int(e.SetBounds.Claims), ReceiptBytes: e.SetBounds.ReceiptBytes}, nil
	default:
		return nil, fmt.Errorf("log entry has the unknown type %T: upgrade this keeper", e)
	}
}

// wireAdvance returns the message of ev.
func wireAdvance(ev Advance) *claimwire.Advance {
	return &claimwire.Advance{Term: uint64(ev.Term), Step: ev.Step, ElapsedNs: int64(ev.Elapsed)}
}

// decodeAdvance reads a step of the clock.
func decodeAdvance(m *claimwire.Advance) Advance {
	return Advance{Term: identifier.Term(m.GetTerm()), Step: m.GetStep(), Elapsed: time.Duration(m.GetElapsedNs())}
}

// decodeAcquire reads and checks a claim.
func decodeAcquire(m *claimwire.Acquire) (Event, error) {
	n, token, err := decodeHold(m.Name, m.Token)
	if err != nil {
		return nil, err
	}
	if len(m.Binding) != idBytes {
		return nil, idError("binding", m.Binding)
	}
	ev := acquire{
		customer: identifier.Customer(m.Customer), name: n, binding: binding(m.Binding), request: identifier.RequestID(m.Request),
		token: token, horizon: time.Duration(m.HorizonNs), runFor: time.Duration(m.RunForNs),
	}
	return ev, ev.check()
}

// decodeHold reads the name and token of a claim.
func decodeHold(n, token []byte) (name, Token, error) {
	if len(n) != idBytes {
		return name{}, Token{}, idError("name", n)
	}
	if len(token) != idBytes {
		return name{}, Token{}, idError("token", token)
	}
	return name(n), Token(token), nil
}

// idError says that an id has a wrong size.
func idError(what string, b []byte) error {
	return fmt.Errorf("the %s of a claim has %d bytes instead of %d: run one version on every host", what, len(b), idBytes)
}

// wireReceipt returns the message of r, with its headers in order.
func wireReceipt(r *Receipt) *claimwire.Receipt {
	m := &claimwire.Receipt{Status: int32(r.Status), Body: r.Body, BodyBytes: r.BodyBytes}
	for _, name := range slices.Sorted(maps.Keys(r.Header)) {
		m.Header = append(m.Header, &claimwire.Field{Name: name, Values: r.Header[name]})
	}
	return m
}

// decodeReceipt reads a receipt, within its bounds.
func decodeReceipt(m *claimwire.Receipt) Receipt {
	r := Receipt{Status: int(m.GetStatus()), Header: make(http.Header), Body: m.GetBody(), BodyBytes: m.GetBodyBytes()}
	for _, f := range m.GetHeader() {
		r.Header[f.Name] = f.Values
	}
	return r.bounded()
}

// encodeReceipt returns r in the form that a table keeps.
func encodeReceipt(r Receipt) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(wireReceipt(&r))
	if err != nil {
		// The strings come from decoded messages.
		panic(fmt.Sprintf("receipt: %v", err))
	}
	return b
}

// parseReceipt reads the form that encodeReceipt writes.
func parseReceipt(b []byte) (Receipt, error) {
	var m claimwire.Receipt
	if err := proto.Unmarshal(b, &m); err != nil {
		return Receipt{}, fmt.Errorf("a receipt is malformed: %w: restore this replica from its peers", err)
	}
	return decodeReceipt(&m), nil
}

// mustDecodeReceipt reads a receipt that a table keeps.
func mustDecodeReceipt(b []byte) Receipt {
	r, err := parseReceipt(b)
	if err != nil {
		panic(err)
	}
	return r
}
