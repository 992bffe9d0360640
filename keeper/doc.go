// Package keeper keeps the control log of a single replica.
//
// Every proposed entry is written to a file and synced before it is applied and
// answered. On opening, all entries are applied again; an entry torn by a crash
// at the end of the file is cut off.
//
// # Usage
//
//	k, err := keeper.Open(keeper.Options{DataFolder: dir, StateMachine: sm})
//	result, err := k.Propose(ctx, entry)
package keeper
