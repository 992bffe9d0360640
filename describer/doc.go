// Package describer holds the values that tell of calls, backend servers,
// routing documents and use, as they pass between an adapter and the packages
// that decide. It decides nothing and does no input or output.
//
// A Call is what the header of a caller's call says, an Attempt what is added to
// it on the way to a backend server, and a Reply what the header of the answer
// says; a Codec translates them from and to headers. A Document lists routes,
// services and customers as an operator wrote them. It checks itself: one that
// names an unknown service, or gives one place or one key twice, is refused as a
// whole. An Instance is a listed backend server, and a Source reads the list
// page by page. Counts are the calls of a Window of the time of day, and a
// Tolerance is how far a customer may exceed its rate.
//
// # Usage
//
//	call, err := codec.Decode(r)
//	if err != nil {
//		return err // names what is malformed
//	}
//	if err := document.Check(); err != nil {
//		return err // names every fault
//	}
package describer
