// Package identifier defines the named types for identifiers and units that all
// other packages share.
//
// A plain string or integer does not state what it identifies. With named types
// the compiler rejects, for example, a backend server where a host is expected.
// The terms host, failure domain, customer and backend server are the users' own;
// docs/GLOSSARY.md maps them to the usual terms.
//
// # Usage
//
//	var h identifier.Host = "a1"
//	if err := h.Check(); err != nil {
//		return fmt.Errorf("settings: %w", err)
//	}
package identifier
