// Package claimwire holds the protobuf messages of claim groups: log entries,
// their answers and snapshots. Package claimer converts them to and from its
// own types and checks them.
//
// # Usage
//
//	var m claimwire.Event
//	err := proto.Unmarshal(entry, &m)
//
//go:generate protoc --go_out=. --go_opt=paths=source_relative claim.proto
package claimwire
