// Package documenter generates reference pages for JSON documents from the Go
// types that decode them.
//
// It takes the descriptions from the doc comments in the source of the types. A
// test of the documented package compares the committed page with a generated
// one, so that the page stays up to date.
//
// # Usage
//
//	types, err := documenter.Parse("configurer")
//	page := types.Tables("Settings")
package documenter
