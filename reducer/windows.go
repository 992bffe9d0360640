package reducer

import (
	"maps"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

// keptWindows is how many closed windows are remembered: more than may still
// be waiting to be reported.
const keptWindows = 16

// CloseWindow records what customers used in a window of time. The first record
// of a window is final, so that two leaders in turn report the same.
type CloseWindow struct {
	Window describer.Window `json:"window"`
	Counts describer.Counts `json:"counts"`
	At     time.Time        `json:"at"`
}

func (CloseWindow) isEvent() {}

// ClosedWindow is a window whose counts are final.
type ClosedWindow struct {
	Window describer.Window `json:"window"`
	Counts describer.Counts `json:"counts"`
}

// closeWindow applies ev.
func (s *State) closeWindow(ev CloseWindow) []Effect {
	accepted := Answer{Outcome: Accepted{Revision: identifier.Revision(ev.Window)}}
	if n := len(s.windows); n > 0 && s.windows[n-1].Window >= ev.Window {
		return []Effect{Answer{Outcome: Accepted{Revision: identifier.Revision(ev.Window), Resent: true}}}
	}
	s.windows = append(s.windows, ClosedWindow{Window: ev.Window, Counts: maps.Clone(ev.Counts)})
	if len(s.windows) > keptWindows {
		s.windows = s.windows[len(s.windows)-keptWindows:]
	}
	return []Effect{accepted}
}
