// Package reducer holds the replicated control state and the one function that
// changes it.
//
// Reduce takes the state and one event and returns effects as data. It is
// deterministic and does no I/O: the time, ids and operator come with the
// event. Every replica of the control log feeds its committed entries to a
// Machine in log order and so reaches the same state. Each concern has its own
// file: configuration.go, rollouts.go, audit.go.
//
// A change of configuration names the revision it was made against. Of several
// changes against one revision exactly one is accepted; the others get a
// Conflict that names the present revision. A change that is sent again under
// its change id gets its first outcome and changes nothing.
//
// The reducer checks only what does not depend on the program's version. The
// fleet document itself is checked by its proposer, before the change is
// proposed: since a change is accepted only against the present revision, what
// was checked is what is published. Replicas that run different versions of
// the checks therefore cannot disagree about an entry.
//
// # Usage
//
//	var m reducer.Machine
//	m.Perform = func(index identifier.LogIndex, effects []reducer.Effect) { ... }
//	entry, err := reducer.EncodeEvent(reducer.ChangeConfiguration{...})
//	...
//	result := m.Apply(index, entry) // once the entry is committed
//	outcome, err := reducer.DecodeOutcome(result)
package reducer
