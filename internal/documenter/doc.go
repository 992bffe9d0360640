// Package documenter writes reference pages of JSON documents from the Go
// types that decode them.
//
// It reads the types' source, so that a page says what the doc comments say and
// cannot fall behind them. A test of the documented package compares the
// committed page with a new one.
//
// # Usage
//
//	types, err := documenter.Parse("configurer")
//	page := types.Tables("Settings")
package documenter
