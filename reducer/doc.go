// Package reducer holds the replicated control state and the one function that
// changes it.
//
// Reduce takes the state and one event and returns effects as data. It is
// deterministic and does no I/O: the time, ids and operator are fields of the
// event. Every replica of the control log passes its committed entries to a
// Machine in log order and therefore reaches the same state. Each concern has
// its own file: configuration.go, documents.go, rollouts.go, windows.go and
// audit.go.
//
// A change of configuration names the revision against which it was made. Of
// several changes against one revision exactly one is accepted; the others get
// a Conflict that names the current revision. A change that is sent again under
// the same change id gets its first outcome and changes nothing.
//
// The reducer checks only what does not depend on the version of the program.
// The proposer checks the fleet document before it proposes the change. Because
// a change is accepted only against the current revision, the published
// document is the one that was checked. Replicas that run different versions of
// the checks therefore cannot disagree about an entry.
//
// # Usage
//
//	var m reducer.Machine
//	m.Perform = func(effects []reducer.Effect) { ... }
//	entry, err := reducer.EncodeEvent(reducer.ChangeConfiguration{...})
//	...
//	results := m.Apply(entry) // once the entry is committed
//	outcome, err := reducer.DecodeOutcome(results[0])
package reducer
