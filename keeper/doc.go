// Package keeper runs one replica of a replicated log and applies its
// committed entries to a state machine.
//
// One goroutine drives the replicator and performs its effects. A second one
// writes to the data folder. While it is in a sync, everything that comes in is
// gathered and shares the next one (group commit), and heartbeats go on.
//
// Any keeper of a group takes proposals and reads: one that does not lead
// passes them on to the leader. A proposal is answered once it is committed
// and applied. Its error tells whether it may still take effect: a refusal
// that says not run is true.
//
// A group is founded by itself. Keepers whose folders are empty announce
// themselves to each other; the first one that the settings list waits until
// every other one has announced itself as empty, and then stores the founding
// members. A keeper that lost its disk announces itself too, meets a founded
// group and is taken in under its fresh identity: as a learner first, and once
// it has caught up it takes the place of its host's lost replica.
//
// When the disk fails, the replica steps aside: it is silent towards the group,
// refuses its callers and says so in the log, the status and a metric, until
// the process is started again.
//
// # Usage
//
//	k, err := keeper.Open(keeper.Options{
//		Host: "a1", Hosts: []identifier.Host{"a1", "b1", "c1"},
//		DataFolder: dir, StateMachine: sm, Transport: transport,
//	})
//	result, err := k.Propose(ctx, entry)
//	err = k.Read(ctx) // the state machine now holds all that was committed
//
//	lease, err := k.Lease()
//	...
//	if err := lease.Check(); err != nil { // at the moment of sending an order
//		return err
//	}
package keeper
