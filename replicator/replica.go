package replicator

import (
	"math/rand/v2"
	"time"

	"cyclamenhub.org/identifier"
)

// Replica is the state of one replica of one group. It is not safe for
// concurrent use.
type Replica struct {
	cfg Config
	rng *rand.Rand
	// now is the time of the step under way, and out its effects.
	now time.Time
	out []Effect

	state  HardState
	role   Role
	leader identifier.ReplicaID
	aside  bool

	log      entryLog
	snapshot Position
	configs  memberHistory
	commit   identifier.LogIndex
	saves    saveQueue

	// contact is when this replica last heard from a leader, was a leader or
	// started.
	contact  time.Time
	deadline time.Time
	granted  map[identifier.ReplicaID]bool

	lead leadership
}

// New returns the replica that stored describes. At now it starts to wait for
// a leader, for at least an ElectionTimeout, because before it was stopped it
// may have backed a lease that it no longer knows of.
func New(cfg Config, stored Stored, now time.Time) *Replica {
	r := &Replica{
		cfg: cfg.withDefaults(), rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		now: now, state: stored.State, snapshot: stored.Snapshot.Position,
		log:     entryLog{base: stored.Base, entries: stored.Entries},
		commit:  stored.Snapshot.Index,
		contact: now,
	}
	r.configs.reset(stored.Snapshot.Index, stored.Snapshot.Members)
	for _, e := range stored.Entries {
		if e.Index > stored.Snapshot.Index {
			r.configs.note(e)
		}
	}
	r.saves.durable = r.log.last().Index
	r.resetDeadline()
	return r
}

// Step handles one event at the time now and returns what is to be done.
func (r *Replica) Step(now time.Time, e Event) []Effect {
	r.now, r.out = now, nil
	if r.aside {
		r.refuseAside(e)
		return r.out
	}
	switch e := e.(type) {
	case Tick:
		r.tick()
	case Receive:
		r.receive(e.From, e.Message)
	case Propose:
		r.propose(e.Proposals)
	case ChangeMembers:
		r.changeMembers(e.ID, e.Change)
	case Read:
		r.read(e.ID)
	case Synced:
		r.synced(e.Seq)
	case Compact:
		r.compact(e.Data)
	case StepAside:
		r.stepAside()
	}
	return r.out
}

// emit adds an effect to the step under way.
func (r *Replica) emit(e Effect) { r.out = append(r.out, e) }

// send adds a message that makes no promise.
func (r *Replica) send(to identifier.ReplicaID, m Message) { r.emit(Send{To: to, Message: m}) }

// promise adds a message that may leave only once all is stored.
func (r *Replica) promise(to identifier.ReplicaID, m Message) {
	r.emit(Send{To: to, Message: m, Promise: true})
}

// receive dispatches a message.
func (r *Replica) receive(from identifier.ReplicaID, m Message) {
	switch m := m.(type) {
	case PreVote:
		r.onPreVote(from, m)
	case PreVoteAnswer:
		r.onPreVoteAnswer(from, m)
	case Vote:
		r.onVote(from, m)
	case VoteAnswer:
		r.onVoteAnswer(from, m)
	case Append:
		r.onAppend(from, m)
	case AppendAnswer:
		r.onAppendAnswer(from, m)
	case InstallSnapshot:
		r.onInstallSnapshot(from, m)
	case ReadRequest:
		r.onReadRequest(from, m)
	case ReadAnswer:
		r.emit(ReadReady{ID: m.ID, Index: m.Index})
	}
}

// tick lets the time act.
func (r *Replica) tick() {
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if !r.mayStand() {
		return
	}
	if r.members().Voters() == 1 && r.members().IsVoter(r.cfg.ID) {
		if r.role != Candidate && (r.isFoundedAlone() || !r.backsLeader()) {
			r.campaign()
		}
		return
	}
	if !r.now.Before(r.deadline) {
		r.startPreVote()
	}
}

// mayStand reports whether this replica stands for election. A voter that was
// removed still does until it knows the removal to be committed, because it
// may be the only one that holds that entry (Ongaro, section 4.2.2).
func (r *Replica) mayStand() bool {
	if r.members().IsVoter(r.cfg.ID) {
		return true
	}
	return r.configs.latestIndex() > r.commit && r.configs.at(r.configs.latestIndex()-1).IsVoter(r.cfg.ID)
}

// FoundingPosition is that of the snapshot that a group starts from.
var FoundingPosition = Position{Index: 1, Term: 1}

// isFoundedAlone reports whether this replica is the only one that the group
// ever had, as far as its log reaches back to the founding. A sole voter that
// others were removed from may have backed the lease of one of them.
func (r *Replica) isFoundedAlone() bool {
	return r.snapshot == FoundingPosition && r.configs.latestIndex() == FoundingPosition.Index
}

// stepAside falls silent for good.
func (r *Replica) stepAside() {
	r.failReads()
	r.aside, r.role, r.leader = true, Follower, 0
	r.emitRole()
}

// refuseAside refuses what a caller waits for.
func (r *Replica) refuseAside(e Event) {
	switch e := e.(type) {
	case Propose:
		for _, p := range e.Proposals {
			r.emit(Refused{p.ID, &SteppedAsideError{}})
		}
	case ChangeMembers:
		r.emit(Refused{e.ID, &SteppedAsideError{}})
	case Read:
		r.emit(Refused{e.ID, &SteppedAsideError{}})
	}
}

// becomeFollower enters term as a follower of leader, which may be 0.
func (r *Replica) becomeFollower(term identifier.Term, leader identifier.ReplicaID) {
	changed := r.role != Follower || r.state.Term != term || r.leader != leader
	if r.role == Leader {
		// Whoever acts under the lease may go on until it ends.
		r.contact = r.now
		r.failReads()
		r.lead = leadership{}
	}
	if term > r.state.Term {
		r.saveState(HardState{Term: term})
	}
	r.role, r.leader, r.granted = Follower, leader, nil
	if changed {
		r.emitRole()
	}
}

// emitRole reports role, term and leader.
func (r *Replica) emitRole() {
	r.emit(RoleChanged{Role: r.role, Term: r.state.Term, Leader: r.leader})
}

// resetDeadline draws the time of the next election (Raft, section 5.2).
func (r *Replica) resetDeadline() {
	t := r.cfg.ElectionTimeout
	r.deadline = r.now.Add(t + time.Duration(r.rng.Int64N(int64(t))))
}

// members returns the members in force: those of the last Membership entry,
// committed or not (Ongaro, section 4.1).
func (r *Replica) members() Members { return r.configs.latest() }
