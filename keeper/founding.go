package keeper

import (
	"slices"
	"time"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/replicator"
)

// founding is what a keeper knows while it founds, joins or repairs its group.
type founding struct {
	// empty are the hosts that announced themselves as empty since this process
	// started.
	empty map[identifier.Host]identifier.ReplicaID
	// applicant is the replica that a leader is taking in.
	applicant member
	// next is when the next step is due.
	next time.Time
	// led is when a leader was last known, or when the replica started.
	led time.Time
}

// member is a replica and its host.
type member struct {
	id   identifier.ReplicaID
	host identifier.Host
}

// tickFounding announces this replica while it has no members, and as a leader
// goes on with taking in another.
func (k *Keeper) tickFounding() {
	if k.failure != nil || k.now().Before(k.found.next) {
		return
	}
	k.found.next = k.now().Add(k.opts.Replica.Heartbeat)
	if k.role.Leader != 0 || k.found.led.IsZero() {
		k.found.led = k.now()
	}
	switch {
	case k.isOrphaned():
		k.announceAll(Announce{Founded: true})
	case !k.isFounded():
		k.tryFound()
		if !k.isFounded() {
			k.announceAll(Announce{})
		}
	case k.opts.Voters > 0:
		k.adjustVoters()
	default:
		k.takeIn()
	}
}

// announceAll tells every known host of this replica.
func (k *Keeper) announceAll(a Announce) {
	for _, h := range k.contacts() {
		k.announce(h, a)
	}
}

// isFounded reports whether this replica has members.
func (k *Keeper) isFounded() bool { return len(k.replica.Members()) > 0 }

// announce tells another host of this replica.
func (k *Keeper) announce(to identifier.Host, a Announce) {
	k.opts.Transport.Send(to, Envelope{Group: k.opts.Group, From: k.id, FromHost: k.opts.Host, Payload: a})
}

// onAnnounce notes an empty replica. A founded one answers it, and if it leads
// takes it in; where the number of voters is set, others pass it on to the
// leader, and a replica that was removed while it was away may come back.
func (k *Keeper) onAnnounce(e Envelope, a Announce) {
	open := k.opts.Voters > 0
	if !open && (a.Founded || !slices.Contains(k.opts.Hosts, e.FromHost)) {
		return
	}
	if !k.isFounded() && !a.Founded {
		k.noteEmpty(e)
	}
	if !a.Answer && !a.Founded {
		k.announce(e.FromHost, Announce{Founded: k.isFounded(), Answer: true})
	}
	switch {
	case !k.isFounded():
	case k.role.Role == replicator.Leader && k.found.applicant.id == 0:
		k.found.applicant = member{e.From, e.FromHost}
	case open && !a.Answer:
		k.relay(e, a)
	}
}

// noteEmpty remembers an empty replica for the founding.
func (k *Keeper) noteEmpty(e Envelope) {
	if k.found.empty == nil {
		k.found.empty = make(map[identifier.Host]identifier.ReplicaID)
	}
	k.found.empty[e.FromHost] = e.From
}

// tryFound stores the founding members, if this is the first host of the list
// and every other one has announced itself as empty. A host that holds, or
// held and lost, a part of a founded group never lets this happen, unless every
// single host lost its disk.
func (k *Keeper) tryFound() {
	if k.opts.JoinOnly || k.opts.Hosts[0] != k.opts.Host || k.replica.Status().Last.Index > 0 {
		return
	}
	members := replicator.NewMembers(replicator.Member{ID: k.id, Host: k.opts.Host, Voter: true})
	for _, h := range k.opts.Hosts[1:] {
		id, ok := k.found.empty[h]
		if !ok {
			return
		}
		members = replicator.NewMembers(append(members, replicator.Member{ID: id, Host: h, Voter: true})...)
	}
	k.foundWith(members)
}

// foundWith starts this replica anew from the founding snapshot.
func (k *Keeper) foundWith(members replicator.Members) {
	s := replicator.Stored{
		Snapshot: replicator.Snapshot{Position: replicator.FoundingPosition, Members: members, Data: k.opts.StateMachine.Snapshot()},
		Base:     replicator.FoundingPosition,
	}
	// Nothing is under way in a group without members, so that this one write
	// may hold up the loop.
	if err := k.drainDisk(); err != nil {
		k.stepAside(err)
		return
	}
	if err := k.store.Save([]replicator.Effect{replicator.SaveCheckpoint{Stored: s}}); err != nil {
		k.stepAside(err)
		return
	}
	k.opts.Log.Info("founded a group", "group", k.opts.Group, "replica", k.id, "members", len(members))
	s.Snapshot.Data = nil
	k.replica = replicator.New(k.opts.Replica, s, k.now())
	k.pending, k.found = job{}, founding{}
	k.step(replicator.Tick{})
}

// drainDisk waits until the disk goroutine is idle.
func (k *Keeper) drainDisk() error {
	if !k.busy {
		return nil
	}
	f := <-k.done
	k.busy = false
	return f.err
}

// takeIn makes the next change of members towards having the applicant as a
// voter in the place of its host's lost replica. The lost one is removed before
// the new one is promoted: it can acknowledge nothing any more, and without it
// the quorum is smaller.
func (k *Keeper) takeIn() {
	a := &k.found.applicant
	if a.id == 0 {
		return
	}
	if k.role.Role != replicator.Leader {
		*a = member{}
		return
	}
	members := k.replica.Members()
	m, isMember := members.Find(a.id)
	lost, hasLost := replaced(members, *a)
	switch {
	case !isMember:
		k.change(replicator.AddLearner{ID: a.id, Host: a.host})
	case m.Voter:
		*a = member{}
	case !k.replica.IsCaughtUp(a.id):
	case hasLost && lost != k.id && k.isSilent(lost):
		k.change(replicator.Remove{ID: lost})
	case !hasLost:
		k.change(replicator.Promote{ID: a.id})
	}
}

// replaced returns another member on the host of a.
func replaced(members replicator.Members, a member) (identifier.ReplicaID, bool) {
	for _, m := range members {
		if m.Host == a.host && m.ID != a.id {
			return m.ID, true
		}
	}
	return 0, false
}

// isSilent reports whether the leader has heard nothing from a member for an
// election timeout.
func (k *Keeper) isSilent(id identifier.ReplicaID) bool {
	return k.now().Sub(k.replica.HeardAt(id)) >= k.opts.Replica.ElectionTimeout
}

// change proposes a change of members that nobody waits for.
func (k *Keeper) change(c replicator.Change) {
	k.step(replicator.ChangeMembers{ID: k.waiters.id(), Change: c})
}
