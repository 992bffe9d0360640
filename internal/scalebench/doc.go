// Command scalebench measures the cost of the control plane at several fleet
// sizes.
//
// It starts a fleet of cyclamend processes on loopback, changes the
// configuration a number of times, and reports how long the changes took from
// acceptance until they were in force on every host. It also reports, by role,
// the processor time, the memory and the bytes exchanged between processes.
// docs/CAPACITY.md extrapolates from the figures at several sizes.
//
// # Usage
//
//	go build -o bin/ ./cmd/cyclamend
//	go run ./internal/scalebench --cyclamend bin/cyclamend --hosts 9 --hosts 60 --hosts 150
package main
