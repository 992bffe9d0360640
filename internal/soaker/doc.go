// Package soaker runs fault-injection soak tests. It starts the real programs as
// separate processes on loopback, injects faults into them and into their links
// by a seeded plan, and checks from outside what they promise to callers and
// operators.
//
// A Plan is a list of faults, generated from a seed, that may overlap: processes
// are killed, paused, or stopped and restarted, and links to backend servers
// stall in one or both directions, are slow, reset connections, or lose
// responses. Some entry hosts, or all of one failure domain, lose their connections to
// all backend servers, and a sound backend server is silent for more than a second. All
// backend servers are brittle for some time in most plans: they let fewer calls wait, and
// fall over when they turn more than a few away in a second.
// Entry hosts run the program gatedentry, the daemon's role with its connections to
// backend servers led through a gate for each host. While the plan runs, callers keep their connections open and reuse
// them until a process exits, and an operator stores one document after the
// other, and one caller sends calls with a part in their prompts that ends the backend
// servers which answer it. The run checks these promises:
//
//   - a non-idempotent request runs at most once;
//   - a request that is reported to its caller as not run did not run;
//   - a complete response belongs to its request, and the events of a stream are
//     in order;
//   - an acknowledged document is never lost, and no read returns an older
//     revision than the last one that was acknowledged before the read;
//   - no window is reported with two different counts;
//   - calls with a part in their prompts that ends backend servers are refused at
//     last, and no sound call is refused for its prompt;
//   - from three seconds after a cut began, hosts that are cut off and otherwise in
//     touch serve calls at least two thirds as often as the others;
//   - a call that was sent to a server that is sound and only silent does not end
//     without an answer;
//   - brittle servers fall over no more often than 2 + a tenth of their number in one
//     stretch, if most of the calls that they turned away came from hosts in touch; such
//     hosts still serve calls;
//   - no process exits unexpectedly;
//   - after the last fault, every entry host and keeper serves again.
//
// # Usage
//
//	r, err := soaker.Run(ctx, soaker.Options{
//		Seed: 7, Binary: "target/cyclamend", Entry: "target/gatedentry", Folder: "target/soak", Length: 20 * time.Second,
//	})
//	if err != nil {
//		return err
//	}
//	fmt.Print(r) // r.Violations lists the promises that were broken
//
// The command soak runs many seeds in sequence; see docs/SOAK.md.
package soaker
