// Package identifier holds the named types for the ids and units that every
// other package shares.
//
// A plain string or integer says nothing about what it names. The types here
// do, so that the compiler refuses a backend server where a host is asked for.
// The words host, failure domain, customer and backend server are those of the
// users; docs/GLOSSARY.md maps them to the usual terms.
//
// # Usage
//
//	var h identifier.Host = "a1"
//	if err := h.Check(); err != nil {
//		return fmt.Errorf("settings: %w", err)
//	}
package identifier
