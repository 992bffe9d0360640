// Package describer defines the values that describe calls, backend servers,
// routing documents and usage. Adapters and the packages that decide on calls
// exchange these values. The package makes no decisions and does no input or
// output.
//
// A Call holds what the header of a caller's call says, an Attempt what is added
// to the header for a backend server, and a Reply what the header of the
// response says. A Codec translates between these values and headers. A Document
// lists routes, services and customers as an operator has written them. Its
// Check method rejects the whole document if, for example, it refers to an
// unknown service, or contains a route's host and prefix or a customer's key
// twice. An Instance is a listed backend server, and a Source reads the list
// page by page. Counts are the calls in a Window of time, and a Tolerance is how
// far a customer may exceed its rate.
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
