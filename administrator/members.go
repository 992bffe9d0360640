package administrator

import (
	"cmp"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/reducer"
	"cyclamenhub.org/refuser"
)

// MemberAction is a kind of membership change.
type MemberAction string

// The kinds of membership change.
const (
	// AddMember adds a replica as a learner.
	AddMember MemberAction = "addMember"
	// PromoteMember promotes a learner that has caught up to a voter.
	PromoteMember MemberAction = "promoteMember"
	// RemoveMember removes a replica.
	RemoveMember MemberAction = "removeMember"
)

// MemberChange is the request body of POST /v1/members.
type MemberChange struct {
	ChangeID identifier.ChangeID `json:"changeId"`
	Action   MemberAction        `json:"action"`
	// Replica is the replica's id.
	Replica identifier.ReplicaID `json:"replica,string"`
	// Host is the host that the replica runs on. It is required only for
	// AddMember.
	Host identifier.Host `json:"host,omitempty"`
	// Reason is the operator's explanation.
	Reason string `json:"reason,omitempty"`
}

// check returns a refusal if c is invalid.
func (c *MemberChange) check() error {
	switch c.Action {
	case AddMember:
		if err := c.Host.Check(); err != nil {
			return malformed(err)
		}
	case PromoteMember, RemoveMember:
	default:
		return malformed(fmt.Errorf("%q is no change of membership: write %s, %s or %s", c.Action, AddMember, PromoteMember, RemoveMember))
	}
	if c.Replica == 0 {
		return malformed(errors.New("replica 0 does not exist: see 'cyclamenctl members list'"))
	}
	if len(c.Reason) > reducer.MaxReasonBytes {
		return malformed(fmt.Errorf("the reason is too long: shorten it to %d bytes", reducer.MaxReasonBytes))
	}
	return nil
}

// detail returns a description of the replica that c changes, for the audit
// trail.
func (c *MemberChange) detail() string {
	if c.Host == "" {
		return fmt.Sprintf("replica %d", c.Replica)
	}
	return fmt.Sprintf("replica %d on host %s", c.Replica, c.Host)
}

// Member is one replica of the control log.
type Member struct {
	Replica       identifier.ReplicaID     `json:"replica,string"`
	Host          identifier.Host          `json:"host"`
	FailureDomain identifier.FailureDomain `json:"failureDomain"`
	// Voter is false for a learner, which does not count towards a quorum.
	Voter bool `json:"voter"`
	// Leader reports whether the replica is the leader.
	Leader bool `json:"leader"`
}

// Members is the response to GET /v1/members.
type Members struct {
	Term    identifier.Term `json:"term"`
	Members []Member        `json:"members"`
}

// getMembers lists the replicas of the control log.
func (h *handler) getMembers(w http.ResponseWriter, r *http.Request) {
	members, err := h.members(r)
	if err != nil {
		refuse(w, err)
		return
	}
	respond(w, members)
}

// members returns the replicas of the control log, sorted by host and id.
func (h *handler) members(r *http.Request) (Members, error) {
	backend, err := h.memberBackend()
	if err != nil {
		return Members{}, err
	}
	members, err := backend.Members(r.Context())
	slices.SortFunc(members.Members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Replica, b.Replica))
	})
	return members, err
}

// changeMembers makes one membership change and responds with the members.
func (h *handler) changeMembers(w http.ResponseWriter, r *http.Request) {
	var c MemberChange
	if err := readBody(w, r, &c); err != nil {
		refuse(w, err)
		return
	}
	if err := h.changeMember(r, c); err != nil {
		refuse(w, err)
		return
	}
	h.getMembers(w, r)
}

// changeMember makes the change c. It records the change in the audit trail
// first, so that no change is made without a record.
func (h *handler) changeMember(r *http.Request, c MemberChange) error {
	backend, err := h.memberBackend()
	if err != nil {
		return err
	}
	refusal := reducer.RecordRefusal{
		Action: string(c.Action), ChangeID: c.ChangeID, Operator: operator(r), Reason: c.Reason, At: h.clock.Now().UTC(),
	}
	if err := c.check(); err != nil {
		h.recordRefusal(r, refusal, err)
		return err
	}
	if _, err := h.backend.Propose(r.Context(), reducer.RecordAction{
		Action: string(c.Action), Detail: c.detail(), ChangeID: c.ChangeID, Operator: operator(r), Reason: c.Reason, At: refusal.At,
	}); err != nil {
		return err
	}
	if err := backend.ChangeMembers(r.Context(), c); err != nil {
		h.recordRefusal(r, refusal, err)
		return err
	}
	return nil
}

// memberBackend returns the backend as a MemberBackend, or a refusal if it is
// not one.
func (h *handler) memberBackend() (MemberBackend, error) {
	backend, ok := h.backend.(MemberBackend)
	if !ok {
		return nil, refuser.NotRun(refuser.NotFound, "this host does not show the control log's members", "ask another host with --address")
	}
	return backend, nil
}
