package keeper

import (
	"maps"
	"slices"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
)

// bootstrapState is the progress of a keeper in bootstrapping, joining or
// repairing its group.
type bootstrapState struct {
	// emptyReplicas are the replicas that have announced themselves as empty
	// since this process started, by host.
	emptyReplicas map[identifier.Host]identifier.ReplicaID
	// joining is the replica that the leader is adding to the group, if any.
	joining member
	// nextStep is when the next step is due.
	nextStep time.Time
	// leaderKnownAt is when a leader was last known, or when the replica
	// started.
	leaderKnownAt time.Time
	// waitingSince is when this replica first found that it has no members, and
	// loggedAt when it last logged that.
	waitingSince, loggedAt time.Time
}

// waitLogInterval is the time between two log lines of a replica without members.
const waitLogInterval = 2 * time.Second

// member is a replica and its host.
type member struct {
	id   identifier.ReplicaID
	host identifier.Host
}

// tickMembership announces this replica while it has no members or has lost its
// leader. On a leader, it continues to add or replace members.
func (k *Keeper) tickMembership() {
	if k.failure != nil || k.now().Before(k.bootstrap.nextStep) {
		return
	}
	k.bootstrap.nextStep = k.now().Add(k.opts.Replica.Heartbeat)
	if k.role.Leader != 0 || k.bootstrap.leaderKnownAt.IsZero() {
		k.bootstrap.leaderKnownAt = k.now()
	}
	switch {
	case k.hasLostLeader():
		k.announceAll(Announce{HasMembers: true})
	case !k.hasMembers():
		k.tryBootstrap()
		if !k.hasMembers() {
			k.announceAll(Announce{})
			k.logWaiting()
		}
	case k.opts.Voters > 0:
		k.adjustVoters()
	default:
		k.advanceJoin()
	}
}

// logWaiting logs from time to time that this replica belongs to no group.
func (k *Keeper) logWaiting() {
	now := k.now()
	if k.bootstrap.waitingSince.IsZero() {
		k.bootstrap.waitingSince, k.bootstrap.loggedAt = now, now
	}
	if now.Sub(k.bootstrap.loggedAt) < waitLogInterval {
		return
	}
	k.bootstrap.loggedAt = now
	k.opts.Log.Warn("no group yet", "group", k.opts.Group, "replica", k.id, "for", now.Sub(k.bootstrap.waitingSince),
		"founders", k.opts.Hosts, "mayFound", !k.opts.JoinOnly, "met", slices.Sorted(maps.Keys(k.bootstrap.emptyReplicas)))
}

// announceAll announces this replica to every known host.
func (k *Keeper) announceAll(a Announce) {
	for _, h := range k.announceTargets() {
		k.announce(h, a)
	}
}

// hasMembers reports whether this replica has members, that is, whether its
// group exists.
func (k *Keeper) hasMembers() bool { return len(k.replica.Members()) > 0 }

// announce announces this replica to another host.
func (k *Keeper) announce(to identifier.Host, a Announce) {
	k.opts.Transport.Send(to, Envelope{Group: k.opts.Group, From: k.id, FromHost: k.opts.Host, Payload: a})
}

// onAnnounce records an empty replica. A replica that has members answers, and
// if it is the leader it adds the sender. If the number of voters is set, the
// other replicas forward the announcement to the leader, and a replica that was
// removed while it was unreachable may rejoin.
func (k *Keeper) onAnnounce(e Envelope, a Announce) {
	open := k.opts.Voters > 0
	if !open && (a.HasMembers || !slices.Contains(k.opts.Hosts, e.FromHost)) {
		return
	}
	if !k.hasMembers() && !a.HasMembers {
		k.recordEmpty(e)
	}
	if !a.Answer && !a.HasMembers {
		k.announce(e.FromHost, Announce{HasMembers: k.hasMembers(), Answer: true})
	}
	switch {
	case !k.hasMembers():
	case k.role.Role == replicator.Leader && k.bootstrap.joining.id == 0:
		k.bootstrap.joining = member{e.From, e.FromHost}
	case open && !a.Answer:
		k.relayAnnounce(e, a)
	}
}

// recordEmpty records an empty replica for the bootstrap.
func (k *Keeper) recordEmpty(e Envelope) {
	if k.bootstrap.emptyReplicas == nil {
		k.bootstrap.emptyReplicas = make(map[identifier.Host]identifier.ReplicaID)
	}
	k.bootstrap.emptyReplicas[e.FromHost] = e.From
}

// tryBootstrap stores the initial members if this is the first host of the list
// and every other host has announced itself as empty. A host that has members
// never does so. A second bootstrap is therefore possible only if every single
// host lost its disk.
func (k *Keeper) tryBootstrap() {
	if k.opts.JoinOnly || k.opts.Hosts[0] != k.opts.Host || k.replica.Status().Last.Index > 0 {
		return
	}
	members := replicator.NewMembers(replicator.Member{ID: k.id, Host: k.opts.Host, Voter: true})
	for _, h := range k.opts.Hosts[1:] {
		id, ok := k.bootstrap.emptyReplicas[h]
		if !ok {
			return
		}
		members = replicator.NewMembers(append(members, replicator.Member{ID: id, Host: h, Voter: true})...)
	}
	k.bootstrapWith(members)
}

// bootstrapWith restarts this replica from a snapshot with the initial members.
func (k *Keeper) bootstrapWith(members replicator.Members) {
	s := replicator.Stored{
		Snapshot: replicator.Snapshot{Position: replicator.InitialPosition, Members: members, Data: k.opts.StateMachine.Snapshot()},
		Base:     replicator.InitialPosition,
	}
	// A group without members has nothing in progress, so this one write may
	// block the loop.
	if err := k.drainDisk(); err != nil {
		k.haltReplica(err)
		return
	}
	if err := k.store.Save([]replicator.Effect{replicator.SaveCheckpoint{Stored: s}}); err != nil {
		k.haltReplica(err)
		return
	}
	k.opts.Log.Info("founded a group", "group", k.opts.Group, "replica", k.id, "members", len(members))
	s.Snapshot.Data = nil
	k.replica = replicator.New(k.opts.Replica, s, k.now())
	k.appliedIndex = k.replica.Commit()
	k.nextJob, k.bootstrap = job{}, bootstrapState{}
	k.step(replicator.Tick{})
}

// drainDisk waits until the disk goroutine is idle.
func (k *Keeper) drainDisk() error {
	if !k.diskBusy {
		return nil
	}
	f := <-k.jobResults
	k.diskBusy = false
	return f.err
}

// advanceJoin makes the next membership change that turns the joining replica
// into a voter in place of its host's lost replica. The lost replica is removed
// before the new one is promoted: it can no longer acknowledge anything, and
// the quorum is smaller without it.
func (k *Keeper) advanceJoin() {
	a := &k.bootstrap.joining
	if a.id == 0 {
		return
	}
	if k.role.Role != replicator.Leader {
		*a = member{}
		return
	}
	members := k.replica.Members()
	m, isMember := members.Find(a.id)
	lost, hasLost := otherMemberOnHost(members, *a)
	switch {
	case !isMember:
		k.proposeChange(replicator.AddLearner{ID: a.id, Host: a.host})
	case m.Voter:
		*a = member{}
	case !k.replica.IsCaughtUp(a.id):
	case hasLost && lost != k.id && k.isUnresponsive(lost):
		k.proposeChange(replicator.Remove{ID: lost})
	case !hasLost:
		k.proposeChange(replicator.Promote{ID: a.id})
	}
}

// otherMemberOnHost returns another member on the host of a.
func otherMemberOnHost(members replicator.Members, a member) (identifier.ReplicaID, bool) {
	for _, m := range members {
		if m.Host == a.host && m.ID != a.id {
			return m.ID, true
		}
	}
	return 0, false
}

// isUnresponsive reports whether a member has answered no message that the
// leader sent within the last election timeout.
func (k *Keeper) isUnresponsive(id identifier.ReplicaID) bool {
	return k.now().Sub(k.replica.LastAckedSendTime(id)) >= k.opts.Replica.ElectionTimeout
}

// proposeChange proposes a membership change for which no caller waits.
func (k *Keeper) proposeChange(c replicator.Change) {
	k.step(replicator.ChangeMembers{ID: k.waiters.id(), Change: c})
}
