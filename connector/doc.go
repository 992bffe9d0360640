// Package connector holds the connections to backend servers.
//
// It speaks HTTP/1.1 with the readers and writers of net/http, on connections
// of its own, because the system needs three things that http.Transport hides:
// whether a byte of a request may have left, that nothing is sent a second time
// without the owner of the request deciding so, and how long ago a connection
// last received a byte. A connection may go silent for good while new ones
// work, so that a pooled one is discarded by the age of its last byte, every
// read has a limit, and an error tells whether the connection was reused.
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
