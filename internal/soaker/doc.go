// Package soaker runs the real programs as separate processes on loopback, harms
// them and their links by a seeded plan, and checks from outside what they promise
// to callers and operators.
//
// A Plan is a list of faults, drawn from a seed, that may overlap: processes are
// killed, paused, or stopped and started again, and links to backend servers
// stall, in both directions or one, are slow, break, or lose answers. While it is played,
// callers keep their connections open and use them until a process is gone, and an
// operator stores one document after the other. The promises:
//
//   - a call that may run at most once runs at most once;
//   - a call that is told not to have run did not run;
//   - a whole answer is the call's own, and the events of a stream are in order;
//   - an acknowledged document is never gone, and no reading is older than the
//     last one that was acknowledged before;
//   - no window is reported with two counts;
//   - no process ends by itself;
//   - after the last fault everything serves again.
//
// # Usage
//
//	r, err := soaker.Run(ctx, soaker.Options{Seed: 7, Binary: "target/cyclamend", Length: 20 * time.Second})
//	if err != nil {
//		return err
//	}
//	fmt.Print(r) // r.Broken lists the promises that were not kept
//
// The command soak plays many seeds in a row; see docs/SOAK.md.
package soaker
