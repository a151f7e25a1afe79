package replicator

import (
	"fmt"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

// isOnlyVoter reports whether this host is the only voter.
func (r *Replicator) isOnlyVoter() bool {
	for _, m := range r.members() {
		if m.Voter && m.Id != r.rec.ID() {
			return false
		}
	}
	return len(r.members()) > 0
}

// becomeFollower makes the host a follower in a term. currentLeader is the term's
// leader, or the zero Peer while it is unknown.
func (r *Replicator) becomeFollower(term uint64, currentLeader Peer) {
	if term > r.term {
		r.setTerm(term, "")
	}
	if r.role != follower || r.leader != currentLeader {
		r.signalChange()
	}
	if r.leader != currentLeader && currentLeader.Name != "" {
		r.emit(logger.ControlFollowing, logger.F("term", r.term), logger.F("leader", currentLeader.Name))
	}
	if r.role == leader {
		r.resetElectionTimer()
	}
	r.role = follower
	r.leader = currentLeader
	r.transferTo = ""
}

// startPreVote asks the voters whether they would vote for this host. The term is raised
// only if a quorum would, so that a host that was partitioned off does not disrupt the
// others.
func (r *Replicator) startPreVote() {
	silent := r.clock - r.lastContact
	r.resetElectionTimer()
	if m := r.member(r.rec.ID()); m == nil || !m.Voter || r.diskFull {
		return
	}
	r.emit(logger.ControlElectionStarted, logger.F("pre", true), logger.F("term", r.term+1), logger.F("last", r.lastIndex()),
		logger.F("leader", r.leader.Name), logger.F("silent", silent), logger.F("heard", r.sinceHeard()))
	r.role = preCandidate
	r.leader = Peer{}
	r.votes = map[string]bool{r.rec.ID(): true}
	r.signalChange()
	r.requestVotes(true, false)
	r.countVotes()
}

// startElection raises the term and requests votes. The host's own vote counts once it is
// durable. transfer is set for a leadership transfer, in which hosts vote although they
// have a live leader.
func (r *Replicator) startElection(transfer bool) {
	r.resetElectionTimer()
	r.role = candidate
	r.leader = Peer{}
	r.votes = make(map[string]bool)
	r.setTerm(r.term+1, r.rec.ID())
	r.emit(logger.ControlElectionStarted, logger.F("pre", false), logger.F("term", r.term), logger.F("last", r.lastIndex()),
		logger.F("transfer", transfer), logger.F("heard", r.sinceHeard()))
	r.requestVotes(false, transfer)
}

// requestVotes sends a vote request, or a pre-vote request if pre is set, to all other
// voters.
func (r *Replicator) requestVotes(pre, transfer bool) {
	index, term := r.rec.Last()
	for _, member := range r.members() {
		if !member.Voter || member.Id == r.rec.ID() {
			continue
		}
		m := r.newMessage(member.Id)
		m.Body = &messenger.PeerMessage_VoteRequest{VoteRequest: &messenger.VoteRequest{
			Pre: pre, LastIndex: index, LastTerm: term, Transfer: transfer,
		}}
		r.enqueue(r.peers[member.Id], m)
	}
}

// countVotes starts the election after a successful pre-vote, or makes the host
// leader after a successful election, once a majority of the voters has granted it.
func (r *Replicator) countVotes() {
	voters, granted := 0, 0
	for _, m := range r.members() {
		if m.Voter {
			voters++
		}
		if m.Voter && r.votes[m.Id] {
			granted++
		}
	}
	if granted <= voters/2 {
		return
	}
	switch r.role {
	case preCandidate:
		r.startElection(false)
	case candidate:
		r.becomeLeader()
	}
}

// hasLiveLeader reports whether the host leads or has had contact with its leader within
// the election timeout.
func (r *Replicator) hasLiveLeader() bool {
	return r.role == leader || r.leader.Name != "" && r.clock-r.lastContact < r.ElectionTimeout
}

// resetElectionTimer restarts the wait for a leader with a random timeout, which differs
// between hosts.
func (r *Replicator) resetElectionTimer() {
	r.lastContact = r.clock
	r.randomizedTimeout = r.ElectionTimeout + time.Duration(r.rnd.Int64N(int64(r.ElectionTimeout)))
}

// setTerm sets term and vote, and queues them to become durable.
func (r *Replicator) setTerm(term uint64, vote string) {
	seq, err := r.rec.SetState(&messenger.LogState{Term: term, Vote: vote})
	if err != nil {
		r.fail(err)
		return
	}
	r.term, r.vote = term, vote
	r.queuedSeq = seq
	r.work.Broadcast()
}

// handleTimeoutNow starts an election at once, as requested by the leader.
func (r *Replicator) handleTimeoutNow(m *messenger.PeerMessage) {
	self := r.member(r.rec.ID())
	if m.Term != r.term || r.role == leader || self == nil || !self.Voter || r.diskFull {
		return
	}
	r.startElection(true)
}

// handleVoteReply counts a granted vote, unless it is for another term or kind of vote.
// A pre-vote asks for the term after the current one.
func (r *Replicator) handleVoteReply(m *messenger.PeerMessage, reply *messenger.VoteReply) {
	askedTerm := r.term
	wantedRole := candidate
	if reply.Pre {
		askedTerm++
		wantedRole = preCandidate
	}
	current := r.role == wantedRole && reply.AskedTerm == askedTerm
	r.emit(logger.ControlVoteAnswered, logger.F("from", m.FromName), logger.F("pre", reply.Pre),
		logger.F("term", reply.AskedTerm), logger.F("granted", reply.Granted), logger.F("current", current))
	if !current || !reply.Granted {
		return
	}
	r.votes[m.FromId] = true
	r.countVotes()
}

// handleVoteRequest replies whether the host votes, or in a pre-vote would vote, for a
// candidate. The reply is sent once term and vote are durable.
func (r *Replicator) handleVoteRequest(m *messenger.PeerMessage, req *messenger.VoteRequest) {
	index, term := r.rec.Last()
	upToDate := req.LastTerm > term || req.LastTerm == term && req.LastIndex >= index
	reply := &messenger.VoteReply{Pre: req.Pre, AskedTerm: m.Term}
	if req.Pre {
		reply.AskedTerm = m.Term + 1
		reply.Granted = upToDate && reply.AskedTerm > r.term && !r.hasLiveLeader()
	} else {
		reply.Granted = upToDate && m.Term == r.term && (r.vote == "" || r.vote == m.FromId) && r.role != leader
	}
	if reply.Granted && !req.Pre {
		if r.vote == "" {
			r.setTerm(r.term, m.FromId)
		}
		r.resetElectionTimer()
	}
	r.logVoteRequest(m, req, reply.Granted)
	answer := r.newMessage(m.FromId)
	answer.Body = &messenger.PeerMessage_VoteReply{VoteReply: reply}
	r.enqueue(r.ensurePeer(m.FromId, m.FromName, m.FromAddress), answer)
}

// logVoteRequest logs whether a vote was granted, with what decided it.
func (r *Replicator) logVoteRequest(m *messenger.PeerMessage, req *messenger.VoteRequest, granted bool) {
	r.emit(logger.ControlVoteRequested, logger.F("from", m.FromName), logger.F("pre", req.Pre), logger.F("term", m.Term),
		logger.F("last", req.LastIndex), logger.F("granted", granted), logger.F("ownTerm", r.term), logger.F("ownLast", r.lastIndex()),
		logger.F("voted", r.vote != ""), logger.F("leader", r.leader.Name), logger.F("sinceContact", r.clock-r.lastContact))
}

// sinceHeard returns the time since a message of each other voter was received, as it is logged.
func (r *Replicator) sinceHeard() []string {
	var ages []string
	for _, m := range r.members() {
		p := r.peers[m.Id]
		switch {
		case !m.Voter || p == nil:
		case p.heardAt == 0:
			ages = append(ages, m.Name+": never")
		default:
			ages = append(ages, fmt.Sprintf("%s: %s", m.Name, r.clock-p.heardAt))
		}
	}
	return ages
}
