package keeper

import (
	"fmt"

	"cyclamenhub.org/identifier"
	"cyclamenhub.org/internal/wire"
	"cyclamenhub.org/replicator"
)

// encodeEnvelope returns the protobuf form of e.
func encodeEnvelope(e Envelope) *wire.ReplicationEnvelope {
	w := &wire.ReplicationEnvelope{
		Group: uint32(e.Group), From: uint64(e.From), To: uint64(e.To), FromHost: string(e.FromHost),
	}
	switch p := e.Payload.(type) {
	case Replication:
		encodeMessage(w, p.Message)
	case Announce:
		w.Message = &wire.ReplicationEnvelope_Announce{Announce: &wire.ReplicationAnnounce{Founded: p.HasMembers, Answer: p.Answer}}
	case Forward:
		w.Message = &wire.ReplicationEnvelope_Forward{Forward: &wire.ReplicationForward{
			Id: p.ID, Data: p.Data, Change: EncodeChange(p.Change),
		}}
	case ForwardAnswer:
		w.Message = &wire.ReplicationEnvelope_ForwardAnswer{ForwardAnswer: &wire.ReplicationForwardAnswer{Id: p.ID, Result: p.Result, Refusal: p.Refusal}}
	}
	return w
}

// encodeMessage sets the message of w to the protobuf form of m.
func encodeMessage(w *wire.ReplicationEnvelope, m replicator.Message) {
	switch m := m.(type) {
	case replicator.PreVote:
		w.Message = &wire.ReplicationEnvelope_PreVote{PreVote: &wire.ReplicationElection{Term: uint64(m.Term), Last: encodePosition(m.Last)}}
	case replicator.PreVoteAnswer:
		w.Message = &wire.ReplicationEnvelope_PreVoteAnswer{PreVoteAnswer: &wire.ReplicationElectionAnswer{Term: uint64(m.Term), Granted: m.Granted}}
	case replicator.Vote:
		w.Message = &wire.ReplicationEnvelope_Vote{Vote: &wire.ReplicationElection{Term: uint64(m.Term), Last: encodePosition(m.Last)}}
	case replicator.VoteAnswer:
		w.Message = &wire.ReplicationEnvelope_VoteAnswer{VoteAnswer: &wire.ReplicationElectionAnswer{Term: uint64(m.Term), Granted: m.Granted}}
	case replicator.Append:
		w.Message = &wire.ReplicationEnvelope_Append{Append: encodeAppend(m)}
	case replicator.AppendAnswer:
		w.Message = &wire.ReplicationEnvelope_AppendAnswer{AppendAnswer: &wire.ReplicationAppendAnswer{
			Term: uint64(m.Term), Rejected: m.Rejected, Match: uint64(m.Match), Stamp: int64(m.Stamp),
		}}
	case replicator.InstallSnapshot:
		w.Message = &wire.ReplicationEnvelope_Snapshot{Snapshot: &wire.ReplicationSnapshot{
			Term: uint64(m.Term), Position: encodePosition(m.Snapshot.Position),
			Members: m.Snapshot.Members.Encode(), Data: m.Snapshot.Data, Stamp: int64(m.Stamp),
		}}
	case replicator.ReadRequest:
		w.Message = &wire.ReplicationEnvelope_ReadRequest{ReadRequest: &wire.ReplicationRead{Term: uint64(m.Term), Id: m.ID}}
	case replicator.ReadAnswer:
		w.Message = &wire.ReplicationEnvelope_ReadAnswer{ReadAnswer: &wire.ReplicationRead{Term: uint64(m.Term), Id: m.ID, Index: uint64(m.Index)}}
	}
}

// encodePosition returns the protobuf form of p.
func encodePosition(p replicator.Position) *wire.ReplicationPosition {
	return &wire.ReplicationPosition{Index: uint64(p.Index), Term: uint64(p.Term)}
}

// encodeAppend returns the protobuf form of m.
func encodeAppend(m replicator.Append) *wire.ReplicationAppend {
	w := &wire.ReplicationAppend{
		Term: uint64(m.Term), Previous: encodePosition(m.Previous), Commit: uint64(m.Commit), Stamp: int64(m.Stamp),
		Entries: make([]*wire.ReplicationEntry, len(m.Entries)),
	}
	for i, e := range m.Entries {
		w.Entries[i] = &wire.ReplicationEntry{Term: uint64(e.Term), Kind: uint32(e.Kind), Data: e.Data}
	}
	return w
}

// decodeEnvelope decodes and checks the form that encodeEnvelope returns.
func decodeEnvelope(w *wire.ReplicationEnvelope) (Envelope, error) {
	e := Envelope{
		Group: identifier.GroupID(w.GetGroup()), From: identifier.ReplicaID(w.GetFrom()),
		To: identifier.ReplicaID(w.GetTo()), FromHost: identifier.Host(w.GetFromHost()),
	}
	if err := e.FromHost.Check(); err != nil {
		return e, err
	}
	if e.From == 0 {
		return e, fmt.Errorf("a replication message names no sender: run the same release on all hosts")
	}
	var err error
	e.Payload, err = decodePayload(w)
	return e, err
}

// decodePayload returns the payload of w, or an error for an unknown kind of
// message.
func decodePayload(w *wire.ReplicationEnvelope) (Payload, error) {
	switch m := w.GetMessage().(type) {
	case *wire.ReplicationEnvelope_Announce:
		return Announce{HasMembers: m.Announce.GetFounded(), Answer: m.Announce.GetAnswer()}, nil
	case *wire.ReplicationEnvelope_Forward:
		f := Forward{ID: m.Forward.GetId(), Data: m.Forward.GetData()}
		var err error
		f.Change, err = DecodeChange(m.Forward.GetChange())
		return f, err
	case *wire.ReplicationEnvelope_ForwardAnswer:
		a := m.ForwardAnswer
		return ForwardAnswer{ID: a.GetId(), Result: a.GetResult(), Refusal: a.GetRefusal()}, nil
	default:
		message, err := decodeMessage(w)
		return Replication{message}, err
	}
}

// EncodeChange returns the protobuf form of c, or nil if c is nil.
func EncodeChange(c replicator.Change) *wire.ReplicationChange {
	switch c := c.(type) {
	case replicator.AddLearner:
		return &wire.ReplicationChange{Kind: wire.ReplicationChange_ADD_LEARNER, Replica: uint64(c.ID), Host: string(c.Host)}
	case replicator.Promote:
		return &wire.ReplicationChange{Kind: wire.ReplicationChange_PROMOTE, Replica: uint64(c.ID)}
	case replicator.Remove:
		return &wire.ReplicationChange{Kind: wire.ReplicationChange_REMOVE, Replica: uint64(c.ID)}
	default:
		return nil
	}
}

// DecodeChange decodes and checks the form that EncodeChange returns.
func DecodeChange(w *wire.ReplicationChange) (replicator.Change, error) {
	if w == nil {
		return nil, nil
	}
	id := identifier.ReplicaID(w.GetReplica())
	switch w.GetKind() {
	case wire.ReplicationChange_ADD_LEARNER:
		h := identifier.Host(w.GetHost())
		return replicator.AddLearner{ID: id, Host: h}, h.Check()
	case wire.ReplicationChange_PROMOTE:
		return replicator.Promote{ID: id}, nil
	case wire.ReplicationChange_REMOVE:
		return replicator.Remove{ID: id}, nil
	default:
		return nil, fmt.Errorf("a change of members is of an unknown kind: run the same release on all hosts")
	}
}

// decodeMessage returns the replicator message in w.
func decodeMessage(w *wire.ReplicationEnvelope) (replicator.Message, error) {
	switch m := w.GetMessage().(type) {
	case *wire.ReplicationEnvelope_PreVote:
		return replicator.PreVote{Term: identifier.Term(m.PreVote.GetTerm()), Last: decodePosition(m.PreVote.GetLast())}, nil
	case *wire.ReplicationEnvelope_PreVoteAnswer:
		return replicator.PreVoteAnswer{Term: identifier.Term(m.PreVoteAnswer.GetTerm()), Granted: m.PreVoteAnswer.GetGranted()}, nil
	case *wire.ReplicationEnvelope_Vote:
		return replicator.Vote{Term: identifier.Term(m.Vote.GetTerm()), Last: decodePosition(m.Vote.GetLast())}, nil
	case *wire.ReplicationEnvelope_VoteAnswer:
		return replicator.VoteAnswer{Term: identifier.Term(m.VoteAnswer.GetTerm()), Granted: m.VoteAnswer.GetGranted()}, nil
	case *wire.ReplicationEnvelope_Append:
		return decodeAppend(m.Append)
	case *wire.ReplicationEnvelope_AppendAnswer:
		a := m.AppendAnswer
		return replicator.AppendAnswer{
			Term: identifier.Term(a.GetTerm()), Rejected: a.GetRejected(),
			Match: identifier.LogIndex(a.GetMatch()), Stamp: replicator.Stamp(a.GetStamp()),
		}, nil
	case *wire.ReplicationEnvelope_Snapshot:
		return decodeSnapshot(m.Snapshot)
	case *wire.ReplicationEnvelope_ReadRequest:
		return replicator.ReadRequest{Term: identifier.Term(m.ReadRequest.GetTerm()), ID: m.ReadRequest.GetId()}, nil
	case *wire.ReplicationEnvelope_ReadAnswer:
		a := m.ReadAnswer
		return replicator.ReadAnswer{Term: identifier.Term(a.GetTerm()), ID: a.GetId(), Index: identifier.LogIndex(a.GetIndex())}, nil
	default:
		return nil, fmt.Errorf("a replication message is of an unknown kind: run the same release on all hosts")
	}
}

// decodePosition returns the position in w.
func decodePosition(w *wire.ReplicationPosition) replicator.Position {
	return replicator.Position{Index: identifier.LogIndex(w.GetIndex()), Term: identifier.Term(w.GetTerm())}
}

// decodeAppend decodes w and checks that its entries follow each other.
func decodeAppend(w *wire.ReplicationAppend) (replicator.Message, error) {
	m := replicator.Append{
		Term: identifier.Term(w.GetTerm()), Previous: decodePosition(w.GetPrevious()),
		Commit: identifier.LogIndex(w.GetCommit()), Stamp: replicator.Stamp(w.GetStamp()),
	}
	for i, e := range w.GetEntries() {
		m.Entries = append(m.Entries, replicator.Entry{
			Index: m.Previous.Index + identifier.LogIndex(i) + 1,
			Term:  identifier.Term(e.GetTerm()), Kind: replicator.EntryKind(e.GetKind()), Data: e.GetData(),
		})
	}
	return m, replicator.CheckEntries(m.Previous, m.Entries)
}

// decodeSnapshot decodes and checks w.
func decodeSnapshot(w *wire.ReplicationSnapshot) (replicator.Message, error) {
	members, err := replicator.DecodeMembers(w.GetMembers())
	return replicator.InstallSnapshot{
		Term: identifier.Term(w.GetTerm()), Stamp: replicator.Stamp(w.GetStamp()),
		Snapshot: replicator.Snapshot{Position: decodePosition(w.GetPosition()), Members: members, Data: w.GetData()},
	}, err
}
