// Package wire holds the protobuf messages that drainers exchange.
//
// The generated code is committed, so that the build needs no generator.
//
// # Usage
//
//	protoc --go_out=. --go_opt=paths=source_relative handover.proto
package wire
