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
	// now is the time of the current step, and effects are its effects so far.
	now     time.Time
	effects []Effect

	state  HardState
	role   Role
	leader identifier.ReplicaID
	halted bool

	log      entryLog
	snapshot Position
	configs  memberHistory
	commit   identifier.LogIndex
	saves    saveQueue

	// lastContact is when this replica last received a message of a leader,
	// stepped down as leader or started, whichever is latest.
	lastContact      time.Time
	electionDeadline time.Time
	granted          map[identifier.ReplicaID]bool

	lead leaderState
}

// New returns a replica with the stored state. From now on it waits for a
// leader for at least an ElectionTimeout and refuses votes meanwhile, because
// before the restart it may have received a message of a leader whose lease
// still holds, and it has no record of that.
func New(cfg Config, stored Stored, now time.Time) *Replica {
	r := &Replica{
		cfg: cfg.withDefaults(), rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.ID))),
		now: now, state: stored.State, snapshot: stored.Snapshot.Position,
		log:         entryLog{base: stored.Base, entries: stored.Entries},
		commit:      stored.Snapshot.Index,
		lastContact: now,
	}
	r.configs.reset(stored.Snapshot.Index, stored.Snapshot.Members)
	for _, e := range stored.Entries {
		if e.Index > stored.Snapshot.Index {
			r.configs.add(e)
		}
	}
	r.saves.durableIndex = r.log.last().Index
	r.resetElectionDeadline()
	return r
}

// Step handles one event at the time now and returns the effects to carry out.
func (r *Replica) Step(now time.Time, e Event) []Effect {
	r.now, r.effects = now, nil
	if r.halted {
		r.refuseHalted(e)
		return r.effects
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
		r.onSynced(e.Seq)
	case Compact:
		r.compact(e.Data)
	case Halt:
		r.halt()
	}
	return r.effects
}

// emit adds an effect to the current step.
func (r *Replica) emit(e Effect) { r.effects = append(r.effects, e) }

// send adds a message that may be sent immediately.
func (r *Replica) send(to identifier.ReplicaID, m Message) { r.emit(Send{To: to, Message: m}) }

// sendAfterSync adds a message that may be sent only once all earlier Save
// effects are on stable storage.
func (r *Replica) sendAfterSync(to identifier.ReplicaID, m Message) {
	r.emit(Send{To: to, Message: m, AfterSync: true})
}

// receive dispatches a message to its handler.
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

// tick sends heartbeats and starts elections that are due.
func (r *Replica) tick() {
	if r.role == Leader {
		r.tickLeader()
		return
	}
	if !r.canCampaign() {
		r.forgetSilentLeader()
		return
	}
	if r.members().Voters() == 1 && r.members().IsVoter(r.cfg.ID) {
		if r.role != Candidate && (r.membershipNeverChanged() || !r.withholdsVotes()) {
			r.campaign()
		}
		return
	}
	if !r.now.Before(r.electionDeadline) {
		r.startPreVote()
	}
}

// forgetSilentLeader forgets a leader that sends nothing any more to a replica that
// must not campaign, for example because the replica was removed without learning it.
func (r *Replica) forgetSilentLeader() {
	if r.leader != 0 && !r.now.Before(r.electionDeadline) {
		r.becomeFollower(r.state.Term, 0)
	}
}

// canCampaign reports whether this replica may start an election. A removed
// voter may do so until it knows that its removal is committed, because it may
// be the only one that holds that entry (Ongaro, section 4.2.2).
func (r *Replica) canCampaign() bool {
	if r.members().IsVoter(r.cfg.ID) {
		return true
	}
	return r.configs.latestSince() > r.commit && r.configs.at(r.configs.latestSince()-1).IsVoter(r.cfg.ID)
}

// InitialPosition is the position of the initial snapshot of a group.
var InitialPosition = Position{Index: 1, Term: 1}

// membershipNeverChanged reports whether the log reaches back to the initial
// snapshot and the membership has not changed since. A sole voter need not wait
// for an ElectionTimeout then. If other voters were removed, one of them may
// still hold a lease.
func (r *Replica) membershipNeverChanged() bool {
	return r.snapshot == InitialPosition && r.configs.latestSince() == InitialPosition.Index
}

// halt halts this replica until it is restarted. It refuses pending reads and
// all later requests, and ignores all other events.
func (r *Replica) halt() {
	r.failReads()
	r.halted, r.role, r.leader = true, Follower, 0
	r.emitRole()
}

// refuseHalted refuses the requests in e, if any, after the replica halted.
func (r *Replica) refuseHalted(e Event) {
	switch e := e.(type) {
	case Propose:
		for _, p := range e.Proposals {
			r.emit(Refused{p.ID, &HaltedError{}})
		}
	case ChangeMembers:
		r.emit(Refused{e.ID, &HaltedError{}})
	case Read:
		r.emit(Refused{e.ID, &HaltedError{}})
	}
}

// becomeFollower enters term as a follower of leader, which may be 0.
func (r *Replica) becomeFollower(term identifier.Term, leader identifier.ReplicaID) {
	changed := r.role != Follower || r.state.Term != term || r.leader != leader
	if r.role == Leader {
		// The caller may rely on the lease until it ends, so this replica has
		// to refuse votes for as long.
		r.lastContact = r.now
		r.failReads()
		r.lead = leaderState{}
	}
	if term > r.state.Term {
		r.saveState(HardState{Term: term})
	}
	r.role, r.leader, r.granted = Follower, leader, nil
	if changed {
		r.emitRole()
	}
}

// emitRole reports the current role, term and leader.
func (r *Replica) emitRole() {
	r.emit(RoleChanged{Role: r.role, Term: r.state.Term, Leader: r.leader})
}

// resetElectionDeadline sets the next election to a random time between one and
// two ElectionTimeouts from now (Raft, section 5.2).
func (r *Replica) resetElectionDeadline() {
	t := r.cfg.ElectionTimeout
	r.electionDeadline = r.now.Add(t + time.Duration(r.rng.Int64N(int64(t))))
}

// members returns the members in effect: those of the last Membership entry,
// whether it is committed or not (Ongaro, section 4.1).
func (r *Replica) members() Members { return r.configs.latest() }
