// Package wire holds the generated protobuf messages that cyclamenhub's
// processes send each other.
//
// The .proto files are the source; the generated code is committed, so that a
// build needs no generator.
//
// # Usage
//
// After a change of a .proto file, run "go generate ./internal/wire".
package wire

//go:generate sh -c "protoc --go_out=. --go_opt=paths=source_relative *.proto"
