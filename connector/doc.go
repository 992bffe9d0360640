// Package connector manages the connections to backend servers.
//
// It uses HTTP/1.1 with the readers and writers of net/http, but on its own
// connections, because http.Transport hides three facts that the system needs:
// whether any byte of a request may have been sent, whether a request is sent
// again (only the owner of the request may decide that), and when a connection
// last received a byte. A connection may stop delivering data permanently while
// new connections work. Pooled connections are therefore discarded by the age
// of their last byte, every read has a time limit, and errors report whether
// the connection was reused.
//
// The end of a connection ends an answer without a length, unless the connection has
// broken. A connection keeps the error with which it broke, since the kernel reports it
// only to the first use that comes after it.
//
// Heads are checked line by line before net/http reads them, since it accepts more than a
// proxy may.
//
// An answer belongs to the request whose id it bears. Servers may write an answer once
// more, and a request may be sent again under its id, so that the id tells something only
// of the first request that a connection carries under it: a connection carries each id
// once.
//
// # Usage
//
//	pool := connector.NewPool(connector.Options{Clock: timer.System{}})
//	c, err := pool.Open(ctx, "10.0.0.7:9000", connector.Pooled)
//	if err != nil {
//		return err // nothing was sent
//	}
//	res, err := c.Exchange(ctx, req, connector.Limits{Deadline: deadline, FirstByte: time.Second})
//	...
//	pool.Release(c) // after the body was read to its end
package connector
