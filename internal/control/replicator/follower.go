package replicator

import (
	"verbenareach/internal/wire/messenger"
)

// Receive takes a message from another control host. It may be called from many
// goroutines; messages may be lost, late, repeated and out of order.
func (r *Replicator) Receive(m *messenger.PeerMessage) {
	if chunk := m.GetSnapshotChunk(); chunk != nil {
		r.receiveChunk(m, chunk)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accept(m) {
		return
	}
	switch body := m.Body.(type) {
	case *messenger.PeerMessage_VoteRequest:
		r.takeVoteRequest(m, body.VoteRequest)
	case *messenger.PeerMessage_VoteReply:
		r.takeVoteReply(m, body.VoteReply)
	case *messenger.PeerMessage_AppendRequest:
		r.takeAppend(m, body.AppendRequest)
	case *messenger.PeerMessage_AppendReply:
		r.takeAppendReply(m, body.AppendReply)
	case *messenger.PeerMessage_SnapshotReply:
		r.takeSnapshotReply(m, body.SnapshotReply)
	case *messenger.PeerMessage_TimeoutNow:
		r.takeTimeoutNow(m)
	}
}

// accept drops messages that are meant for another identity, and follows a higher term
// unless the message is a request for votes that the host won't consider.
func (r *Replicator) accept(m *messenger.PeerMessage) bool {
	if !r.running || m.ToId != r.rec.ID() || m.FromId == r.rec.ID() {
		return false
	}
	if m.Term <= r.term {
		return true
	}
	if vote := m.GetVoteRequest(); vote != nil {
		if vote.Pre {
			return true
		}
		if r.hears() && !vote.Transfer {
			return false
		}
	}
	r.becomeFollower(m.Term, Peer{})
	return true
}

// followLeader takes m's sender for the leader of the term. It returns false if
// the message is of an older term; then the sender learns the newer one.
func (r *Replicator) followLeader(m *messenger.PeerMessage) bool {
	if m.Term < r.term {
		answer := r.message(m.FromId)
		answer.Body = &messenger.PeerMessage_AppendReply{AppendReply: &messenger.AppendReply{Rejected: true}}
		r.post(r.link(m.FromId, m.FromName, m.FromAddress), answer)
		return false
	}
	r.becomeFollower(m.Term, Peer{Name: m.FromName, Address: m.FromAddress})
	r.heardAt = r.clock
	return true
}

// takeAppend makes the log equal to the leader's as far as the message tells. The
// answer goes out once that is durable.
func (r *Replicator) takeAppend(m *messenger.PeerMessage, req *messenger.AppendRequest) {
	if !r.followLeader(m) {
		return
	}
	reply := &messenger.AppendReply{Round: req.Round}
	if term, ok := r.rec.Term(req.PrevIndex); req.PrevIndex > r.commit && (!ok || term != req.PrevTerm) {
		reply.Rejected = true
		reply.Match = r.guessMatch(req)
	} else if err := r.takeEntries(req, reply); err != nil {
		r.fail(err)
		return
	}
	answer := r.message(m.FromId)
	answer.Body = &messenger.PeerMessage_AppendReply{AppendReply: reply}
	r.post(r.link(m.FromId, m.FromName, m.FromAddress), answer)
}

// guessMatch returns the highest index, below the one that does not match, at
// which the logs may be equal.
func (r *Replicator) guessMatch(req *messenger.AppendRequest) uint64 {
	index := min(req.PrevIndex-1, r.lastIndex())
	for index > r.commit {
		if term, ok := r.rec.Term(index); !ok || term <= req.PrevTerm {
			break
		}
		index--
	}
	return index
}

// takeEntries appends what the log lacks. Entries up to the commit index are equal in
// all logs, so they are passed over.
func (r *Replicator) takeEntries(req *messenger.AppendRequest, reply *messenger.AppendReply) error {
	reply.Match = max(req.PrevIndex+uint64(len(req.Entries)), min(r.commit, req.Commit))
	for i, e := range req.Entries {
		if e.Index <= r.commit {
			continue
		}
		if term, ok := r.rec.Term(e.Index); ok && term == e.Term {
			continue
		}
		if err := r.appendEntries(req.Entries[i:]...); err != nil {
			return err
		}
		break
	}
	r.setCommit(min(req.Commit, reply.Match))
	return nil
}
