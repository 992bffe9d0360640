package daemon

import (
	"context"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/keeper"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/replicator"
)

var _ administrator.MemberBackend = (*control)(nil)

// Methods for members that keepers serve.
const (
	membersMethod       messenger.Method = "control.members"
	changeMembersMethod messenger.Method = "control.changeMembers"
)

// Members returns the replicas of the control log.
func (c *control) Members(ctx context.Context) (administrator.Members, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var resp wire.MembersResponse
	if c.keeper == nil {
		if err := c.callKeepers(ctx, membersMethod, &wire.Empty{}, &resp); err != nil {
			return administrator.Members{}, err
		}
		return c.decodeMembers(&resp)
	}
	m, err := c.readMembers(ctx)
	if err != nil {
		return administrator.Members{}, err
	}
	return c.decodeMembers(m)
}

// readMembers returns the committed members by a linearizable read on this
// host.
func (c *control) readMembers(ctx context.Context) (*wire.MembersResponse, error) {
	if err := c.keeper.Load().Read(ctx); err != nil {
		return nil, err
	}
	s := c.keeper.Load().Status()
	return &wire.MembersResponse{Term: uint64(s.Term), Leader: uint64(s.Leader), Members: s.Committed.Encode()}, nil
}

// decodeMembers converts a keeper's answer to the form for operators.
func (c *control) decodeMembers(resp *wire.MembersResponse) (administrator.Members, error) {
	list, err := replicator.DecodeMembers(resp.GetMembers())
	out := administrator.Members{Term: identifier.Term(resp.GetTerm())}
	for _, m := range list {
		h, _ := c.cfg.HostNamed(m.Host)
		out.Members = append(out.Members, administrator.Member{
			Replica: m.ID, Host: m.Host, FailureDomain: h.FailureDomain,
			Voter: m.Voter, Leader: uint64(m.ID) == resp.GetLeader(),
		})
	}
	return out, err
}

// ChangeMembers makes one change to the members of the control log.
func (c *control) ChangeMembers(ctx context.Context, m administrator.MemberChange) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var change replicator.Change
	switch m.Action {
	case administrator.AddMember:
		change = replicator.AddLearner{ID: m.Replica, Host: m.Host}
	case administrator.PromoteMember:
		change = replicator.Promote{ID: m.Replica}
	case administrator.RemoveMember:
		change = replicator.Remove{ID: m.Replica}
	}
	if c.keeper != nil {
		return c.keeper.Load().ChangeMembers(ctx, change)
	}
	return c.callKeepers(ctx, changeMembersMethod, &wire.ChangeMembersRequest{Change: keeper.EncodeChange(change)}, &wire.Empty{})
}

// handleMembers serves membersMethod.
func (c *control) handleMembers(ctx context.Context, _ *messenger.Call) (proto.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return c.readMembers(ctx)
}

// handleChangeMembers serves changeMembersMethod.
func (c *control) handleChangeMembers(ctx context.Context, call *messenger.Call) (proto.Message, error) {
	var req wire.ChangeMembersRequest
	if err := call.Decode(&req); err != nil {
		return nil, err
	}
	change, err := keeper.DecodeChange(req.GetChange())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return &wire.Empty{}, c.keeper.Load().ChangeMembers(ctx, change)
}
