// Package forwarder takes the calls of callers to backend servers as they are:
// method, target, header and body go on unchanged, and so does the answer.
//
// One place decides what a status may promise. A refusal that says "not run"
// (429, 503) is given only where no attempt of the call can have run; once a
// byte may have reached a backend server that did not say itself that it ran
// nothing, a call ends with the backend server's own answer, or with 502 or
// 504. What may be repeated follows from the kind of the route: idempotent
// calls and resumable streams may go to another backend server, all others are
// sent again only after a backend server has said that it ran nothing.
//
// A stream is passed on in whole events, each as it comes. Where it breaks off
// and may be resumed, it goes on at another backend server within the same
// answer, after the last event that the caller has got. One that may not be
// resumed is broken off, so that it does not look complete.
//
// What a header says is decoded by a Codec; nothing here knows the names that
// are spoken on the wire.
//
// # Usage
//
//	f := forwarder.New(forwarder.Options{Codec: codec, Router: r, Pool: pool, Limiter: limiter, Meter: meter})
//	f.SetTable(matcher.NewTable(revision, document))
//	f.SetListing(listing)
//	http.Serve(ln, f)
package forwarder
