package drainer

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"cyclamenhub.org/dispatcher"
	"cyclamenhub.org/drainer/wire"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/refuser"
)

// The kinds of request as the messages name them.
const (
	streamKind = "stream"
	textKind   = "text"
	callKind   = "call"
)

// encode converts h to the message that offers it to a peer.
func (d *Drainer) encode(h *dispatcher.Handover) *wire.TakeRequest {
	r := &h.Request
	req := &wire.TakeRequest{
		RequestId: string(r.ID), Customer: string(r.Customer), Service: string(r.Service.Name), Version: string(h.Version),
		Route: string(r.Route), Method: r.Method, Path: r.Path, Header: encodeHeader(r.Header), Body: r.Body,
		Key: string(r.Key), RemainingMs: r.Deadline.Sub(d.opt.Clock.Now()).Milliseconds(), Priority: string(r.Priority),
		Prompt: r.Prompt, Epoch: h.Epoch, Progress: encodeProgress(&h.Progress),
	}
	switch k := r.Kind.(type) {
	case dispatcher.Stream:
		req.Kind, req.Chat = streamKind, k.Chat
	case dispatcher.Text:
		req.Kind, req.Chat = textKind, k.Chat
	case dispatcher.Call:
		req.Kind, req.NonIdempotent = callKind, k.NonIdempotent
	}
	if h.Final != nil {
		// Marshalling a refusal never fails.
		req.Final, _ = json.Marshal(h.Final)
	}
	return req
}

// decode converts the message of another host to a handover. Its deadline
// counts from the time of decoding. It returns an error if the service or the
// kind of the request is unknown.
func (d *Drainer) decode(req *wire.TakeRequest) (*dispatcher.Handover, error) {
	service, ok := d.opt.Dispatcher.Table().Service(identifier.Service(req.Service))
	if !ok {
		return nil, refuser.NotRun(refuser.NotFound, "the service is not known here", "hand the request to a host with the same configuration")
	}
	kind, err := decodeKind(req)
	if err != nil {
		return nil, err
	}
	h := &dispatcher.Handover{
		Request: dispatcher.Request{
			ID: identifier.RequestID(req.RequestId), Customer: identifier.Customer(req.Customer), Service: service, Kind: kind,
			Route: identifier.Route(req.Route), Method: req.Method, Path: req.Path, Header: decodeHeader(req.Header), Body: req.Body,
			Key: identifier.IdempotencyKey(req.Key), Priority: dispatcher.Priority(req.Priority), Prompt: req.Prompt,
			Deadline: d.opt.Clock.Now().Add(time.Duration(req.RemainingMs) * time.Millisecond), Reconnectable: true,
		},
		Version: identifier.Version(req.Version), Epoch: req.Epoch, Progress: decodeProgress(req.Progress),
	}
	if len(req.Final) > 0 {
		h.Final = new(refuser.Refusal)
		if err := json.Unmarshal(req.Final, h.Final); err != nil {
			return nil, fmt.Errorf("handover: %w", err)
		}
	}
	return h, nil
}

// decodeKind returns the kind of the request that req carries.
func decodeKind(req *wire.TakeRequest) (dispatcher.Kind, error) {
	switch req.Kind {
	case streamKind:
		return dispatcher.Stream{Chat: req.Chat}, nil
	case textKind:
		return dispatcher.Text{Chat: req.Chat}, nil
	case callKind:
		return dispatcher.Call{NonIdempotent: req.NonIdempotent}, nil
	default:
		return nil, refuser.NotRun(refuser.Malformed, fmt.Sprintf("the kind %q is unknown", req.Kind), "hand the request to a host of the same release")
	}
}

func encodeHeader(h http.Header) []*wire.HeaderField {
	out := make([]*wire.HeaderField, 0, len(h))
	for k, v := range h {
		out = append(out, &wire.HeaderField{Name: k, Values: v})
	}
	return out
}

func decodeHeader(fields []*wire.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[http.CanonicalHeaderKey(f.Name)] = f.Values
	}
	return h
}

func encodeProgress(p *dispatcher.Progress) *wire.StreamProgress {
	w := &wire.StreamProgress{
		Id: p.ID, Head: p.Head, Tail: p.Tail, Text: p.Text, Ends: p.Ends, Finish: p.Finish, Usage: p.Usage, Opaque: p.Opaque,
		Special: make(map[uint32][]byte, len(p.Special)),
	}
	for n, b := range p.Special {
		w.Special[uint32(n)] = b
	}
	return w
}

func decodeProgress(w *wire.StreamProgress) dispatcher.Progress {
	p := dispatcher.Progress{
		ID: w.GetId(), Head: w.GetHead(), Tail: w.GetTail(), Text: w.GetText(), Ends: w.GetEnds(), Finish: w.GetFinish(),
		Usage: w.GetUsage(), Opaque: w.GetOpaque(), Special: make(map[int][]byte, len(w.GetSpecial())),
	}
	for n, b := range w.GetSpecial() {
		p.Special[int(n)] = b
	}
	return p
}

// encodeUpdate converts u to its message.
func encodeUpdate(u dispatcher.Update) (*wire.NextResponse, error) {
	w := &wire.NextResponse{Payloads: u.Payloads, State: string(u.State), Owner: string(u.Owner)}
	if u.Answer != nil {
		w.HasAnswer, w.Status, w.Body = true, int32(u.Answer.Status), u.Answer.Body
		w.Header = encodeHeader(u.Answer.Header)
	}
	if u.Refusal != nil {
		b, err := json.Marshal(u.Refusal)
		if err != nil {
			return nil, err
		}
		w.Refusal = b
	}
	return w, nil
}

// decodeUpdate converts w to an update.
func decodeUpdate(w *wire.NextResponse) (dispatcher.Update, error) {
	u := dispatcher.Update{Payloads: w.Payloads, State: dispatcher.State(w.State), Owner: identifier.Host(w.Owner)}
	if w.HasAnswer {
		u.Answer = &dispatcher.Answer{Head: dispatcher.Head{Status: int(w.Status), Header: decodeHeader(w.Header)}, Body: w.Body}
	}
	if len(w.Refusal) > 0 {
		u.Refusal = new(refuser.Refusal)
		if err := json.Unmarshal(w.Refusal, u.Refusal); err != nil {
			return u, fmt.Errorf("update: %w", err)
		}
	}
	return u, nil
}
