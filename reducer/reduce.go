package reducer

import (
	"fmt"

	"cyclamenhub.org/evacuator"
	"cyclamenhub.org/isolator"
	"cyclamenhub.org/roller"
)

// State is the replicated control state. Its zero value is the empty state
// before the first change. One goroutine owns it; others read a View.
type State struct {
	configuration configuration
	audit         audit
	rollouts      roller.State
	// isolated lists the parts of prompts that are kept away from backend servers.
	isolated isolator.Book
	// evacuated lists the evacuated failure domains.
	evacuated evacuator.Book
	// windows holds the latest closed windows, oldest first.
	windows []ClosedWindow
}

// Reduce applies ev to s and returns the resulting effects. The last effect is
// always the Answer to the proposer of ev.
func Reduce(s *State, ev Event) []Effect {
	switch ev := ev.(type) {
	case ChangeConfiguration:
		return s.change(documentChange(ev))
	case AddException:
		return s.change(exceptionAddition(ev))
	case RemoveException:
		return s.change(exceptionRemoval(ev))
	case RecordAction:
		return s.recordAction(ev)
	case Rollout:
		return s.changeRollout(ev)
	case StoreDocument:
		return s.storeDocument(ev)
	case CloseWindow:
		return s.closeWindow(ev)
	case Isolation:
		return s.changeIsolation(ev)
	case Evacuation:
		return s.changeEvacuation(ev)
	case RecordRefusal:
		return s.recordRefusal(ev)
	default:
		panic(fmt.Sprintf("event %T has no case in Reduce", ev))
	}
}

// currentEffects returns the effects that publish the current state after a
// restore: the configuration, the directives of the rollouts, the isolated parts of
// prompts and the evacuated failure domains.
func (s *State) currentEffects() []Effect {
	var effects []Effect
	if c := &s.configuration; c.revision > 0 {
		effects = append(effects, PublishConfiguration{Revision: c.revision, Document: c.document})
	}
	for _, d := range s.rollouts.Directives() {
		effects = append(effects, RolloutEffect{Effect: roller.PublishDirective{Directive: d}})
	}
	if s.isolated.Sequence > 0 {
		effects = append(effects, PublishIsolation{Book: s.isolated})
	}
	if s.evacuated.Sequence > 0 {
		effects = append(effects, PublishEvacuations{Book: s.evacuated})
	}
	return effects
}
