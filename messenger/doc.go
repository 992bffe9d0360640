// Package messenger carries calls between cyclamenhub's own processes.
//
// A call is one request and one answer, both protobuf messages, on a stream of
// a yamux session over TCP. Two processes share one session, which is dialled
// when first needed.
//
// A TCP connection may be lost track of by something between its two ends: it
// stays open and silent for good while new connections work. The messenger
// therefore judges a session by the bytes that arrive. A call that has waited
// for Options.Silence without a byte from the peer sends a ping on the same
// session; if another Silence passes without a byte, the session is closed, its
// calls fail as Unreachable, and the next call dials anew. A slow peer that
// still answers pings keeps its session.
//
// A failed call is never repeated here, since the messenger can't know whether
// the peer acted on it. Who calls decides.
//
// # Usage
//
//	m := messenger.New(messenger.Options{Host: "a1"})
//	m.Handle("control.propose", func(ctx context.Context, c *messenger.Call) (proto.Message, error) {
//		var req wire.ProposeRequest
//		if err := c.Decode(&req); err != nil {
//			return nil, err
//		}
//		...
//	})
//	go m.Serve(ln)
//	err := m.Call(ctx, "10.0.0.2:7000", "control.propose", req, resp)
package messenger
