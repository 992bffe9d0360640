package reducer

import (
	"maps"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

// maxClosedWindows bounds the closed windows that are kept. It exceeds the
// number of windows that may still have to be reported.
const maxClosedWindows = 16

// CloseWindow records the usage of customers in a time window. The first record
// of a window is final, so that consecutive leaders report the same usage.
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
	if len(s.windows) > maxClosedWindows {
		s.windows = s.windows[len(s.windows)-maxClosedWindows:]
	}
	return []Effect{accepted}
}
