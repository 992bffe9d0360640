// Package describer defines the values that describe calls, backend servers,
// routing documents and usage. Adapters and the packages that decide on calls
// exchange these values. The package makes no decisions and does no I/O.
//
// A Call holds the values from the header of a caller's call, an Attempt the
// values added to the header for a backend server, and a Reply the values from
// the header of the response. A Codec translates between these values and
// headers. A Document lists routes, services and customers as an operator has
// written them. Its Check method rejects the entire document if, for example,
// it refers to an unknown service, contains two routes with the same host and
// prefix, or gives two customers the same key. An Instance is a listed backend
// server, and a Source reads the list page by page. Counts are the calls in a
// Window of time, and a Tolerance is how far a customer may exceed its rate.
//
// # Usage
//
//	call, err := codec.Decode(r)
//	if err != nil {
//		return err // says what is malformed
//	}
//	if err := document.Check(); err != nil {
//		return err // lists every fault
//	}
package describer
