package replicator

import (
	"verbenareach/internal/wire/messenger"
)

// Receive handles a message from another control host. It is safe for concurrent
// use. Messages may be lost, delayed, duplicated and reordered.
func (r *Replicator) Receive(m *messenger.PeerMessage) {
	if chunk := m.GetSnapshotChunk(); chunk != nil {
		r.handleSnapshotChunk(m, chunk)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accept(m) {
		return
	}
	switch body := m.Body.(type) {
	case *messenger.PeerMessage_VoteRequest:
		r.handleVoteRequest(m, body.VoteRequest)
	case *messenger.PeerMessage_VoteReply:
		r.handleVoteReply(m, body.VoteReply)
	case *messenger.PeerMessage_AppendRequest:
		r.handleAppendRequest(m, body.AppendRequest)
	case *messenger.PeerMessage_AppendReply:
		r.handleAppendReply(m, body.AppendReply)
	case *messenger.PeerMessage_SnapshotReply:
		r.handleSnapshotReply(m, body.SnapshotReply)
	case *messenger.PeerMessage_TimeoutNow:
		r.handleTimeoutNow(m)
	}
}

// accept reports whether a message is to be handled, and adopts its term if that is higher.
// It rejects messages addressed to another identity. While the host has a live leader, it
// also rejects vote requests of a higher term without adopting the term, unless the
// election is a leadership transfer.
func (r *Replicator) accept(m *messenger.PeerMessage) bool {
	if !r.running || m.ToId != r.rec.ID() || m.FromId == r.rec.ID() {
		return false
	}
	if p := r.peers[m.FromId]; p != nil {
		p.heardAt = r.clock
	}
	if m.Term <= r.term {
		return true
	}
	if vote := m.GetVoteRequest(); vote != nil {
		if vote.Pre {
			return true
		}
		if r.hasLiveLeader() && !vote.Transfer {
			r.logVoteRequest(m, vote, false)
			return false
		}
	}
	r.becomeFollower(m.Term, Peer{})
	return true
}

// followLeader records m's sender as the leader of the term. If the message is of
// an older term, it returns false and replies with the current term.
func (r *Replicator) followLeader(m *messenger.PeerMessage) bool {
	if m.Term < r.term {
		answer := r.newMessage(m.FromId)
		answer.Body = &messenger.PeerMessage_AppendReply{AppendReply: &messenger.AppendReply{Rejected: true}}
		r.enqueue(r.ensurePeer(m.FromId, m.FromName, m.FromAddress), answer)
		return false
	}
	r.becomeFollower(m.Term, Peer{Name: m.FromName, Address: m.FromAddress})
	r.lastContact = r.clock
	return true
}

// handleAppendRequest appends the leader's entries, or rejects them if the log does not
// match at the previous index. The reply is sent once the log is durable.
func (r *Replicator) handleAppendRequest(m *messenger.PeerMessage, req *messenger.AppendRequest) {
	if !r.followLeader(m) {
		return
	}
	reply := &messenger.AppendReply{Round: req.Round}
	if term, ok := r.rec.Term(req.PrevIndex); req.PrevIndex > r.commit && (!ok || term != req.PrevTerm) {
		reply.Rejected = true
		reply.Match = r.guessMatch(req)
	} else if err := r.appendMissing(req, reply); err != nil {
		r.fail(err)
		return
	}
	answer := r.newMessage(m.FromId)
	answer.Body = &messenger.PeerMessage_AppendReply{AppendReply: reply}
	r.enqueue(r.ensurePeer(m.FromId, m.FromName, m.FromAddress), answer)
}

// guessMatch returns the highest index below the mismatch at which this log may
// still agree with the leader's: entries of a later term than the leader's previous
// entry can't.
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

// appendMissing appends the entries that the log lacks. It skips entries up to the commit
// index, which are equal in all logs. It sets Match in reply to the index up to which the
// log agrees with the leader's, and raises the commit index.
func (r *Replicator) appendMissing(req *messenger.AppendRequest, reply *messenger.AppendReply) error {
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
