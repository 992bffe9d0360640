// Package keeper runs one replica of a replicated log and applies its committed
// entries to a state machine.
//
// One goroutine drives the replicator and performs its effects. A second one
// writes to the data folder. Input that arrives during a sync is collected and
// shares the next one (group commit). Heartbeats continue in the meantime.
//
// Every keeper of a group accepts proposals and reads. A keeper that is not the
// leader forwards them to the leader. A proposal is answered once it is
// committed and applied. Its error says whether it may still take effect: a
// refusal of the kind "not run" guarantees that it will not.
//
// A group bootstraps itself. Keepers whose folders are empty announce
// themselves to each other. The first host in the settings waits until every
// other host has announced itself as empty, and then stores the initial
// members. In an open group (Options.Voters) the folder also remembers who
// founds it, so that a restart before that changes nothing. A keeper that lost
// its disk also announces itself, finds an existing group and joins it under a
// new identity: first as a learner, and, once it has caught up, as a voter that
// replaces the lost replica of its host.
//
// The state machine gets the entries of one commit together. The lease of a new
// leader begins once everything that earlier leaders committed is applied, so that
// a read under the lease returns no older state.
//
// When its storage or its state machine fails, the replica halts: it sends
// nothing to the group and refuses its callers until the process restarts. The
// keeper reports the failure in the log, in the status and in a metric.
//
// # Usage
//
//	k, err := keeper.Open(keeper.Options{
//		Host: "a1", Hosts: []identifier.Host{"a1", "b1", "c1"},
//		DataFolder: dir, StateMachine: sm, Transport: transport,
//	})
//	result, err := k.Propose(ctx, entry)
//	err = k.Read(ctx) // the state machine has now applied everything committed before the call
//
//	lease, err := k.Lease()
//	...
//	if err := lease.Check(); err != nil { // immediately before sending an order
//		return err
//	}
package keeper
