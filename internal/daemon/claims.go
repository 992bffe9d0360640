package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cyclamenhub.org/claimer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/keeper"
	"cyclamenhub.org/messenger"
	"cyclamenhub.org/refuser"
)

// claimMethod takes an entry for a claim group at a keeper.
const claimMethod messenger.Method = "claims.propose"

// firstClaimGroup is the id of claim group 0; the control log has the one
// before.
const firstClaimGroup identifier.GroupID = 1

// claimTimeout bounds an entry's way into a claim group. It outlasts an
// election; a host without a majority then refuses long before the request's
// deadline.
const claimTimeout = 5 * time.Second

// claims reaches the logs of the claim groups: those kept here, or those of
// keepers elsewhere.
type claims struct {
	control *control
	groups  []*claimGroup // empty where this host is no keeper
}

// claimGroup is one claim group's replica and table.
type claimGroup struct {
	keeper *keeper.Keeper

	mu    sync.Mutex // guards table
	table claimer.Table
}

// open opens the claim groups where this host is a keeper, once the control log
// is open.
func (cs *claims) open() error {
	c := cs.control
	if c.keeper == nil {
		return nil
	}
	for i := range c.cfg.ClaimGroupCount() {
		g := &claimGroup{}
		k, err := keeper.Open(keeper.Options{
			Group: firstClaimGroup + identifier.GroupID(i), Host: c.cfg.Host, Hosts: c.cfg.Keepers,
			DataFolder: c.cfg.DataFolder, StateMachine: g, Transport: c.peers, Clock: c.clock, Log: c.log,
		})
		if err != nil {
			return err
		}
		g.keeper = k
		c.peers.Attach(k)
		cs.groups = append(cs.groups, g)
	}
	c.messenger.Handle(claimMethod, cs.handle)
	return nil
}

// Apply applies a committed entry to the table.
func (g *claimGroup) Apply(index identifier.LogIndex, entry []byte) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Apply(index, entry)
}

// Snapshot returns the table.
func (g *claimGroup) Snapshot() []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Snapshot()
}

// Restore replaces the table.
func (g *claimGroup) Restore(snapshot []byte) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Restore(snapshot)
}

// leads returns the term in which the replica here leads its group.
func (g *claimGroup) leads() (identifier.Term, bool) {
	_, err := g.keeper.Lease()
	return g.keeper.Status().Term, err == nil
}

// Propose puts an entry into the log of a claim group.
func (cs *claims) Propose(ctx context.Context, group int, entry []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if len(cs.groups) > 0 {
		return cs.proposeHere(ctx, group, entry)
	}
	var resp wire.ClaimResponse
	err := cs.control.ask(ctx, claimMethod, &wire.ClaimRequest{Group: uint32(group), Entry: entry}, &resp)
	return resp.Answer, err
}

// proposeHere puts an entry into the log of a claim group kept here.
func (cs *claims) proposeHere(ctx context.Context, group int, entry []byte) ([]byte, error) {
	if group < 0 || group >= len(cs.groups) {
		return nil, refuser.NotRun(refuser.Malformed, fmt.Sprintf("there is no claim group %d", group),
			"set the same claimGroups on all hosts")
	}
	return cs.groups[group].keeper.Propose(ctx, entry)
}

// handle takes an entry from another host.
func (cs *claims) handle(ctx context.Context, call *messenger.Call) (proto.Message, error) {
	var req wire.ClaimRequest
	if err := call.Decode(&req); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	answer, err := cs.proposeHere(ctx, int(req.Group), req.Entry)
	if err != nil {
		return nil, err
	}
	return &wire.ClaimResponse{Answer: answer}, nil
}

// run moves the clocks of the claim groups until ctx ends.
func (cs *claims) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, g := range cs.groups {
		a := &claimer.Advancer{
			Clock: cs.control.clock, Leads: g.leads,
			Propose: func(ctx context.Context, entry []byte) error {
				_, err := g.keeper.Propose(ctx, entry)
				return err
			},
		}
		wg.Go(func() { a.Run(ctx) })
	}
	wg.Wait()
}

// close closes the claim groups' logs.
func (cs *claims) close() {
	if cs == nil {
		return
	}
	for _, g := range cs.groups {
		_ = g.keeper.Close()
	}
}
