package replicator

import (
	"encoding/json"
	"fmt"
	"slices"

	"cyclamenhub.org/identifier"
)

// Member is one replica of a group.
type Member struct {
	ID identifier.ReplicaID `json:"id,string"`
	// Host is where the replica runs.
	Host identifier.Host `json:"host"`
	// Voter is false for a learner, which receives the log but does not count
	// towards a quorum.
	Voter bool `json:"voter"`
}

// Members are the replicas of a group, sorted by ID.
type Members []Member

// MaxMembers is the maximum number of members of a group, including learners.
const MaxMembers = 16

// DecodeMembers decodes and checks the output of Members.Encode.
func DecodeMembers(b []byte) (Members, error) {
	var m Members
	if err := json.Unmarshal(b, &m); err != nil {
		return nil, fmt.Errorf("members: %w: the entry was written by another version; restore the data folder of a healthy replica", err)
	}
	return m, m.Check()
}

// Check returns an error unless m is sorted by ID, has no repeated or zero IDs
// and has at most MaxMembers members.
func (m Members) Check() error {
	if len(m) > MaxMembers {
		return fmt.Errorf("%d members are listed: keep at most %d", len(m), MaxMembers)
	}
	for i := range m {
		if m[i].ID == 0 {
			return fmt.Errorf("member on host %q has id 0: give each replica its own id", m[i].Host)
		}
		if i > 0 && m[i-1].ID >= m[i].ID {
			return fmt.Errorf("members are not sorted by id at %d: sort them and list each once", m[i].ID)
		}
	}
	return nil
}

// Encode returns m as the data of a Membership entry.
func (m Members) Encode() []byte {
	b, err := json.Marshal(m)
	if err != nil {
		panic("replicator: members cannot be encoded: " + err.Error()) // not reached: strings, numbers and booleans can always be encoded
	}
	return b
}

// Find returns the member with the given id.
func (m Members) Find(id identifier.ReplicaID) (Member, bool) {
	for _, x := range m {
		if x.ID == id {
			return x, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether id is a voter.
func (m Members) IsVoter(id identifier.ReplicaID) bool {
	x, ok := m.Find(id)
	return ok && x.Voter
}

// Voters returns the number of voters.
func (m Members) Voters() int {
	n := 0
	for _, x := range m {
		if x.Voter {
			n++
		}
	}
	return n
}

// Quorum returns the smallest number of voters that form a majority.
func (m Members) Quorum() int { return m.Voters()/2 + 1 }

// with returns a copy of m in which x is added or replaces the member with the
// same ID.
func (m Members) with(x Member) Members {
	c := m.without(x.ID)
	c = append(c, x)
	slices.SortFunc(c, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return c
}

// without returns a copy of m without the member id.
func (m Members) without(id identifier.ReplicaID) Members {
	return slices.DeleteFunc(slices.Clone(m), func(x Member) bool { return x.ID == id })
}

// NewMembers returns the given members, sorted by ID.
func NewMembers(list ...Member) Members {
	var m Members
	for _, x := range list {
		m = m.with(x)
	}
	return m
}
