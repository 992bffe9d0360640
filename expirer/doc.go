// Package expirer closes callers' connections that are idle for too long or on which a
// header takes too long or is too large, by limits that may change while connections are
// open.
//
// A Listener wraps the accepted connections. An http.Server that Prepare has set up says
// by its read deadlines what it waits for, a request or the rest of a header; the
// connection puts the limits in force in their place. Only the goroutine that reads a
// connection ends it, after a read that returned no byte and with no byte in the
// kernel's buffer, so that a request that has arrived is never dropped for the idle limit.
//
// Callers go by the limits that they know. A wait that has begun keeps the longest limit
// that was in force since; a shorter limit holds from the next wait on. A connection is
// closed a twentieth to a tenth of the limit after it, which spreads the closes.
//
// Connections, and the memory that headers take on all of them, have a capacity. When it is
// nearly used up, the connection that has waited longest for a request or for the rest of a
// header is closed in the same way.
//
// # Usage
//
//	e := expirer.New(expirer.Options{Default: expirer.Limits{Header: 10 * time.Second, Idle: 5 * time.Minute}})
//	expirer.Prepare(server)
//	go server.Serve(e.Listener(ln))
//	e.SetLimits(expirer.Limits{Header: 3 * time.Second, Idle: 15 * time.Second})
package expirer
