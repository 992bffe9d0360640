// Package forwarder forwards calls from callers to backend servers. Method,
// target, header and body are forwarded unchanged, and so is the response.
//
// A status that means "not run" (429, 503) is returned only if no attempt of
// the call can have run. Once a byte may have reached a backend server that has
// not itself reported that it ran nothing, a call ends with the response of the
// backend server, or with 502 or 504. The kind of the route decides what may be
// repeated: idempotent calls and resumable streams may be sent to another
// backend server, and all other calls are sent again only after a backend
// server has reported that it ran nothing.
//
// A response belongs to a call if it bears the id of the call, or if it is the first
// one on a new connection. Responses that bear other ids are discarded. A response
// without an id on a connection that earlier calls used may repeat the response to
// one of them, so that a refusal of this kind proves nothing.
//
// A stream is relayed in complete events, each as soon as it arrives. If a
// resumable stream breaks off, it continues on another backend server within
// the same response, after the last event that the caller has received. If a
// stream that is not resumable breaks off, the connection to the caller is
// aborted, so that the response does not look complete.
//
// A Codec decodes and encodes the headers; this package does not know their
// names on the wire.
//
// # Usage
//
//	f := forwarder.New(forwarder.Options{Codec: codec, Placer: p, Pool: pool, Limiter: limiter, Meter: meter})
//	f.SetTable(matcher.NewTable(revision, document))
//	f.SetListing(listing)
//	http.Serve(ln, f)
package forwarder
