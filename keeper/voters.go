package keeper

import (
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
)

// lostAfter is how long a voter is silent before another replica takes its
// place. It is shorter than the time that a platform gives a replacement to
// catch up, and longer than a restart.
const lostAfter = 3 * time.Second

// standing is what a leader knows of one member.
type standing struct {
	replicator.Member
	// silent is how long it has not been heard.
	silent time.Duration
	// caughtUp tells that it has stored the log and keeps up.
	caughtUp bool
	// replaced tells that another member runs on its host.
	replaced bool
}

// isLive reports whether the member was heard a short while ago.
func (s standing) isLive(electionTimeout time.Duration) bool { return s.silent < electionTimeout }

// isLost reports whether the member's place may be given away.
func (s standing) isLost(electionTimeout time.Duration) bool {
	if s.replaced {
		return !s.isLive(electionTimeout)
	}
	return s.silent >= lostAfter
}

// planVoters returns the next change of members towards want live voters, or
// nil. A learner takes the place of a voter that is lost before that one is
// removed, so that the group bears the next loss as soon as it can. An odd
// number of voters keeps a majority on one side of every cut in two.
func planVoters(members []standing, want int, electionTimeout time.Duration) replicator.Change {
	var voters int
	var lost, spare, surplus, goneLearner identifier.ReplicaID
	for _, m := range members {
		switch {
		case m.Voter:
			voters++
			if m.isLost(electionTimeout) {
				lost = m.ID
			} else if m.silent > 0 {
				surplus = m.ID
			}
		case m.isLost(electionTimeout):
			goneLearner = m.ID
		case m.caughtUp && m.isLive(electionTimeout):
			spare = m.ID
		}
	}
	switch {
	case spare != 0 && (voters < want || lost != 0 && voters == want):
		return replicator.Promote{ID: spare}
	case voters > want && lost != 0:
		return replicator.Remove{ID: lost}
	case voters > want && surplus != 0:
		return replicator.Remove{ID: surplus}
	case goneLearner != 0:
		return replicator.Remove{ID: goneLearner}
	default:
		return nil
	}
}

// standings returns what this leader knows of the members.
func (k *Keeper) standings() []standing {
	members := k.replica.Members()
	list := make([]standing, 0, len(members))
	for _, m := range members {
		s := standing{Member: m}
		if m.ID != k.id {
			s.silent = max(k.now().Sub(k.replica.HeardAt(m.ID)), 1)
			s.caughtUp = k.replica.IsCaughtUp(m.ID)
		}
		for _, o := range members {
			s.replaced = s.replaced || o.Host == m.Host && o.ID != m.ID
		}
		list = append(list, s)
	}
	return list
}

// adjustVoters makes the next change of members where the options ask for a
// number of voters. It replaces takeIn.
func (k *Keeper) adjustVoters() {
	if k.role.Role != replicator.Leader {
		k.found.applicant = member{}
		return
	}
	if a := k.found.applicant; a.id != 0 {
		k.found.applicant = member{}
		if _, isMember := k.replica.Members().Find(a.id); !isMember {
			k.change(replicator.AddLearner{ID: a.id, Host: a.host})
			return
		}
	}
	if c := planVoters(k.standings(), k.opts.Voters, k.opts.Replica.ElectionTimeout); c != nil {
		k.opts.Log.Info("changing members", "group", k.opts.Group, "replica", k.id, "change", c)
		k.change(c)
	}
}

// isOrphaned reports whether a founded replica has known no leader for so long
// that it may have been removed.
func (k *Keeper) isOrphaned() bool {
	return k.opts.Voters > 0 && k.role.Leader == 0 && k.now().Sub(k.found.led) >= lostAfter
}

// contacts returns the hosts that an unfounded or orphaned replica announces
// itself to.
func (k *Keeper) contacts() []identifier.Host {
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

// relay passes an announcement on to the leader, which alone can take the
// sender in.
func (k *Keeper) relay(e Envelope, a Announce) {
	leader, ok := k.replica.Members().Find(k.role.Leader)
	if !ok || leader.ID == k.id {
		return
	}
	a.Answer = true
	e.Payload = a
	k.opts.Transport.Send(leader.Host, e)
}
