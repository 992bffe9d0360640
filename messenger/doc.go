// Package messenger implements remote procedure calls between cyclamenhub's own
// processes.
//
// A call is one request and one response, both protobuf messages, on a stream of
// a yamux session over TCP. Two processes share one session, which is dialled
// on the first call.
//
// A device between the two ends of a TCP connection may lose its state: the
// connection then stays open without passing bytes, while new connections work.
// The messenger therefore checks a session by the bytes that it receives. If a
// call has waited for Options.ReadIdleTimeout without a byte from the peer, it sends
// a ping on the same session. If no byte arrives within another ReadIdleTimeout,
// the session is closed, its calls fail with an UnreachableError, and the next call
// dials a new session. A slow peer that still responds to pings keeps its
// session.
//
// The messenger never retries a failed call, because it can't know whether the
// peer executed it. The caller decides whether to retry.
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
