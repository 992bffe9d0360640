// Package bed is the test bed of the review's scripts. It starts the programs of the
// deploy file as separate processes on loopback addresses, with settings like those of a
// small deployment, and plays the platform, its operator, clients and backend servers.
//
// Every machine has an IP address of its own in 127.0.0.0/8. A Record holds what was
// sent, answered and run.
//
// # Usage
//
//	b, err := bed.New(bed.Options{Binary: "target/cyclamend", Record: "review/1/record.txt"})
//	defer b.Close()
//	b.Cloud.List(worker.Entry())
//	err = b.Start(3, 2)
//	err = b.StoreConfig(bed.Config{Version: 1})
package bed
