package reducer

import (
	"encoding/json"
	"slices"
	"time"

	"cyclamenhub.org/evacuator"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/isolator"
	"cyclamenhub.org/roller"
)

// View is a view of the state that other goroutines may keep.
type View struct {
	// Revision is the current revision; 0 means that there is no configuration
	// yet.
	Revision identifier.Revision
	// Document is the current fleet document. It must not be changed.
	Document json.RawMessage
	// Since is when the current revision was proposed.
	Since time.Time
	// Accepted and Refused are the audit trail, oldest first.
	Accepted []AuditRecord
	Refused  []AuditRecord
	// Rollouts holds the running rollouts and the latest ended ones, oldest
	// first.
	Rollouts []roller.Record
	// Isolated lists the isolated parts of prompts. It must not be changed.
	Isolated isolator.Book
	// Evacuated lists the evacuated failure domains. It must not be changed.
	Evacuated evacuator.Book
	// Windows holds the latest closed windows, oldest first.
	Windows []ClosedWindow
}

// View returns a view of s. Only the goroutine that owns s may call it.
func (s *State) View() View {
	return View{
		Revision:  s.configuration.revision,
		Document:  s.configuration.document,
		Since:     s.configuration.since,
		Accepted:  s.audit.accepted.view(),
		Refused:   s.audit.refused.view(),
		Rollouts:  s.rolloutRecords(),
		Windows:   slices.Clone(s.windows),
		Isolated:  s.isolated,
		Evacuated: s.evacuated,
	}
}
