package keeper

import (
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
)

// memberLostAfter is how long a voter must be unresponsive before another
// replica replaces it. It is longer than a restart, and shorter than the time
// that a platform gives a replacement to catch up.
const memberLostAfter = 3 * time.Second

// memberState is the state of one member as the leader knows it.
type memberState struct {
	replicator.Member
	// unresponsiveFor is the time since the leader sent the last message that
	// the member has answered; it is 0 for the leader itself.
	unresponsiveFor time.Duration
	// caughtUp reports that the member has stored the log and keeps up with it.
	caughtUp bool
	// replaced reports that another member runs on the same host.
	replaced bool
}

// isLive reports whether the member has answered a message that the leader sent
// within the given timeout.
func (s memberState) isLive(timeout time.Duration) bool { return s.unresponsiveFor < timeout }

// isLost reports whether another replica may replace the member.
func (s memberState) isLost(electionTimeout time.Duration) bool {
	if s.replaced {
		return !s.isLive(electionTimeout)
	}
	return s.unresponsiveFor >= memberLostAfter
}

// planVoters returns the next membership change towards want live voters, or
// nil. It promotes a learner before it removes the lost voter, so that the
// group tolerates the next loss as soon as possible. want is odd, so that a
// partition into two sides leaves a majority on one of them.
func planVoters(members []memberState, want int, electionTimeout time.Duration) replicator.Change {
	var voters int
	var lostVoter, spare, surplus, lostLearner identifier.ReplicaID
	for _, m := range members {
		switch {
		case m.Voter:
			voters++
			if m.isLost(electionTimeout) {
				lostVoter = m.ID
			} else if m.unresponsiveFor > 0 {
				surplus = m.ID
			}
		case m.isLost(electionTimeout):
			lostLearner = m.ID
		case m.caughtUp && m.isLive(electionTimeout):
			spare = m.ID
		}
	}
	switch {
	case spare != 0 && (voters < want || lostVoter != 0 && voters == want):
		return replicator.Promote{ID: spare}
	case voters > want && lostVoter != 0:
		return replicator.Remove{ID: lostVoter}
	case voters > want && surplus != 0:
		return replicator.Remove{ID: surplus}
	case lostLearner != 0:
		return replicator.Remove{ID: lostLearner}
	default:
		return nil
	}
}

// memberStates returns the states of the members as this leader knows them.
func (k *Keeper) memberStates() []memberState {
	members := k.replica.Members()
	list := make([]memberState, 0, len(members))
	for _, m := range members {
		s := memberState{Member: m}
		if m.ID != k.id {
			s.unresponsiveFor = max(k.now().Sub(k.replica.LastAckedSendTime(m.ID)), 1)
			s.caughtUp = k.replica.IsCaughtUp(m.ID)
		}
		for _, o := range members {
			s.replaced = s.replaced || o.Host == m.Host && o.ID != m.ID
		}
		list = append(list, s)
	}
	return list
}

// adjustVoters makes the next membership change if Options.Voters is set. It is
// then used in place of advanceJoin.
func (k *Keeper) adjustVoters() {
	if k.role.Role != replicator.Leader {
		k.bootstrap.joining = member{}
		return
	}
	if a := k.bootstrap.joining; a.id != 0 {
		k.bootstrap.joining = member{}
		if _, isMember := k.replica.Members().Find(a.id); !isMember {
			k.proposeChange(replicator.AddLearner{ID: a.id, Host: a.host})
			return
		}
	}
	if c := planVoters(k.memberStates(), k.opts.Voters, k.opts.Replica.ElectionTimeout); c != nil {
		k.opts.Log.Info("changing members", "group", k.opts.Group, "replica", k.id, "change", c)
		k.proposeChange(c)
	}
}

// hasLostLeader reports whether a replica has known no leader for so long that
// it may have been removed from the group.
func (k *Keeper) hasLostLeader() bool {
	return k.opts.Voters > 0 && k.role.Leader == 0 && k.now().Sub(k.bootstrap.leaderKnownAt) >= memberLostAfter
}

// announceTargets returns the hosts to which a replica announces itself while
// it has no members or has lost its leader.
func (k *Keeper) announceTargets() []identifier.Host {
	var list []identifier.Host
	seen := map[identifier.Host]bool{k.opts.Host: true}
	add := func(h identifier.Host) {
		if !seen[h] {
			seen[h] = true
			list = append(list, h)
		}
	}
	for _, h := range k.opts.Hosts {
		add(h)
	}
	if k.opts.Contacts != nil {
		for _, h := range k.opts.Contacts() {
			add(h)
		}
	}
	for _, m := range k.replica.Members() {
		add(m.Host)
	}
	return list
}

// relayAnnounce forwards an announcement to the leader, because only the leader
// can add its sender.
func (k *Keeper) relayAnnounce(e Envelope, a Announce) {
	leader, ok := k.replica.Members().Find(k.role.Leader)
	if !ok || leader.ID == k.id {
		return
	}
	a.Answer = true
	e.Payload = a
	k.opts.Transport.Send(leader.Host, e)
}
