package isolator

import (
	"cmp"
	"time"

	"cyclamenhub.org/describer"
	"cyclamenhub.org/identifier"
)

const (
	// SurvivalTime is for how long a call must have been answered to be evidence
	// against its parts: longer than a server takes from the first token of an
	// answer to its end.
	SurvivalTime = 500 * time.Millisecond
	// evidenceTTL is how long evidence is kept.
	evidenceTTL = 10 * time.Minute
	// maxSuspectsPerEnd bounds the suspects of one end.
	maxSuspectsPerEnd = 256
)

// Key identifies a part of the prompts of a service.
type Key struct {
	Service identifier.Service `json:"service"`
	Part    identifier.PartID  `json:"part"`
}

// compare orders keys by service and part.
func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Service, o.Service), cmp.Compare(k.Part, o.Part))
}

// End is the end of a backend server's process while it answered calls, as one
// host knows it.
type End struct {
	Server  identifier.ServerRun `json:"server"`
	Service identifier.Service   `json:"service"`
	Version identifier.Version   `json:"version"`
	// Suspects holds the shared parts of the calls that the server had only begun
	// to answer, with their positions in the prompt, counted from 0.
	Suspects map[identifier.PartID]int `json:"suspects"`
	// Age is the time since the process ended, in a report.
	Age time.Duration `json:"-"`
}

// addSuspects adds the shared parts of a prompt, up to maxSuspectsPerEnd, and
// reports whether one of them was new.
func addSuspects(suspects map[identifier.PartID]int, shared []describer.PromptPart) bool {
	changed := false
	for position, p := range shared {
		changed = addSuspect(suspects, p.ID, position) || changed
	}
	return changed
}

// addSuspect adds one suspect and reports whether it was new. Its position is the
// deepest that was seen.
func addSuspect(suspects map[identifier.PartID]int, id identifier.PartID, position int) bool {
	known, ok := suspects[id]
	if !ok && len(suspects) >= maxSuspectsPerEnd {
		return false
	}
	suspects[id] = max(known, position)
	return !ok
}

// Sighting is when something last happened to a part. An empty part stands for
// all calls of the service.
type Sighting struct {
	Key
	Age time.Duration
}

// Report is what a host tells the leader in a sync.
type Report struct {
	// Ends are those that the leader of this term has not been told.
	Ends []End
	// Survivals are the last calls that survived, by suspect and by service.
	Survivals []Sighting
	// Refusals are the last calls that were refused, by isolated part.
	Refusals []Sighting
}
