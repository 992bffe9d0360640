package reducer

import (
	"fmt"

	"cyclamenhub.org/roller"
)

// State is the replicated control state. Its zero value is the empty state
// before the first change. One goroutine owns it; others read a View.
type State struct {
	configuration configuration
	audit         audit
	rollouts      roller.State
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
	case RecordRefusal:
		return s.recordRefusal(ev)
	default:
		panic(fmt.Sprintf("event %T has no case in Reduce", ev))
	}
}

// currentEffects returns the effects that publish the current state after a
// restore: the configuration and the directives of the rollouts.
func (s *State) currentEffects() []Effect {
	var effects []Effect
	if c := &s.configuration; c.revision > 0 {
		effects = append(effects, PublishConfiguration{Revision: c.revision, Document: c.document})
	}
	for _, d := range s.rollouts.Directives() {
		effects = append(effects, RolloutEffect{Effect: roller.PublishDirective{Directive: d}})
	}
	return effects
}
