package reducer

import (
	"encoding/json"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/roller"
)

// View is a reading of the state that other goroutines may keep.
type View struct {
	// Revision is the present revision; 0 means no configuration yet.
	Revision identifier.Revision
	// Document is the present fleet document. It must not be changed.
	Document json.RawMessage
	// Since is when the present revision was proposed.
	Since time.Time
	// Accepted and Refused hold the audit trail, oldest first.
	Accepted []AuditRecord
	Refused  []AuditRecord
	// Rollouts holds the running and the newest ended rollouts, oldest first.
	Rollouts []roller.Record
	// Windows holds the newest closed windows, oldest first.
	Windows []ClosedWindow
}

// View returns a reading of s. Only the goroutine that owns s may call it.
func (s *State) View() View {
	return View{
		Revision: s.configuration.revision,
		Document: s.configuration.document,
		Since:    s.configuration.since,
		Accepted: s.audit.accepted.view(),
		Refused:  s.audit.refused.view(),
		Rollouts: s.rolloutRecords(),
		Windows:  slices.Clone(s.windows),
	}
}
