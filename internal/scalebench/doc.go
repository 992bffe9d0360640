// Command scalebench measures what control costs at several fleet sizes.
//
// It starts a fleet of cyclamend processes on loopback, changes the
// configuration a number of times, and reports how long each change took from
// its acceptance until it was in force on every host, and what the processes
// spent, by role: processor time, memory, and bytes between processes. Figures
// at several sizes give the slopes that docs/CAPACITY.md extrapolates.
//
// # Usage
//
//	go build -o bin/ ./cmd/cyclamend
//	go run ./internal/scalebench --cyclamend bin/cyclamend --hosts 9 --hosts 60 --hosts 150
package main
