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
	rollouts      roller.Book
	// windows are the newest closed windows, oldest first.
	windows []ClosedWindow
}

// Reduce applies ev to s and returns what is to be done. The last effect is
// always the Answer to the event's proposer.
func Reduce(s *State, ev Event) []Effect {
	switch ev := ev.(type) {
	case ChangeConfiguration:
		return s.change(changeOfDocument(ev))
	case AddException:
		return s.change(additionOfException(ev))
	case RemoveException:
		return s.change(removalOfException(ev))
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

// standing returns the effects that bring a performer up to the state: the
// configuration and the directives of the rollouts.
func (s *State) standing() []Effect {
	var effects []Effect
	if c := &s.configuration; c.revision > 0 {
		effects = append(effects, PublishConfiguration{Revision: c.revision, Document: c.document})
	}
	for _, d := range s.rollouts.Directives() {
		effects = append(effects, RolloutEffect{Effect: roller.PublishDirective{Directive: d}})
	}
	return effects
}
