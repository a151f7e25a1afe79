package replicator

import (
	"time"

	"verbenareach/internal/wire/messenger"
)

// aloneVotes tells whether this host is the only voter.
func (r *Replicator) aloneVotes() bool {
	for _, m := range r.members() {
		if m.Voter && m.Id != r.rec.ID() {
			return false
		}
	}
	return len(r.members()) > 0
}

// becomeFollower follows a term and its leader, if known.
func (r *Replicator) becomeFollower(term uint64, leads Peer) {
	if term > r.term {
		r.setTerm(term, "")
	}
	if r.role != follower || r.leader != leads {
		r.bump()
	}
	if r.role == leader {
		r.resetPatience()
	}
	r.role = follower
	r.leader = leads
	r.transferTo = ""
}

// campaign asks the voters whether they would elect this host. Only if a quorum
// would, it raises its term: a host that was cut off disturbs no one.
func (r *Replicator) campaign() {
	r.resetPatience()
	if m := r.member(r.rec.ID()); m == nil || !m.Voter || r.full {
		return
	}
	r.role = preCandidate
	r.leader = Peer{}
	r.votes = map[string]bool{r.rec.ID(): true}
	r.bump()
	r.askForVotes(true, false)
	r.countVotes()
}

// stand raises the term and asks for votes. Its own vote counts once it is durable.
func (r *Replicator) stand(transfer bool) {
	r.resetPatience()
	r.role = candidate
	r.leader = Peer{}
	r.votes = make(map[string]bool)
	r.setTerm(r.term+1, r.rec.ID())
	r.askForVotes(false, transfer)
}

func (r *Replicator) askForVotes(pre, transfer bool) {
	index, term := r.rec.Last()
	for _, member := range r.members() {
		if !member.Voter || member.Id == r.rec.ID() {
			continue
		}
		m := r.message(member.Id)
		m.Body = &messenger.PeerMessage_VoteRequest{VoteRequest: &messenger.VoteRequest{
			Pre: pre, LastIndex: index, LastTerm: term, Transfer: transfer,
		}}
		r.post(r.peers[member.Id], m)
	}
}

// countVotes goes on once a quorum of the voters has granted its votes.
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
		r.stand(false)
	case candidate:
		r.becomeLeader()
	}
}

// hears tells whether the host has heard of its leader within the election timeout.
func (r *Replicator) hears() bool {
	return r.role == leader || r.leader.Name != "" && r.clock-r.heardAt < r.ElectionTimeout
}

// resetPatience begins to wait for a leader, for a time that differs from host to host.
func (r *Replicator) resetPatience() {
	r.heardAt = r.clock
	r.patience = r.ElectionTimeout + time.Duration(r.rnd.Int64N(int64(r.ElectionTimeout)))
}

func (r *Replicator) setTerm(term uint64, vote string) {
	ticket, err := r.rec.SetState(&messenger.LogState{Term: term, Vote: vote})
	if err != nil {
		r.fail(err)
		return
	}
	r.term, r.vote = term, vote
	r.ticket = ticket
	r.work.Broadcast()
}

// takeTimeoutNow stands for election at once, as the leader asks.
func (r *Replicator) takeTimeoutNow(m *messenger.PeerMessage) {
	self := r.member(r.rec.ID())
	if m.Term != r.term || r.role == leader || self == nil || !self.Voter || r.full {
		return
	}
	r.stand(true)
}

func (r *Replicator) takeVoteReply(m *messenger.PeerMessage, reply *messenger.VoteReply) {
	asked := r.term
	wanted := candidate
	if reply.Pre {
		asked++
		wanted = preCandidate
	}
	if r.role != wanted || reply.AskedTerm != asked || !reply.Granted {
		return
	}
	r.votes[m.FromId] = true
	r.countVotes()
}

// takeVoteRequest answers whether the host votes, or would vote, for a candidate.
// The answer goes out once term and vote are durable.
func (r *Replicator) takeVoteRequest(m *messenger.PeerMessage, req *messenger.VoteRequest) {
	index, term := r.rec.Last()
	current := req.LastTerm > term || req.LastTerm == term && req.LastIndex >= index
	reply := &messenger.VoteReply{Pre: req.Pre, AskedTerm: m.Term}
	if req.Pre {
		reply.AskedTerm = m.Term + 1
		reply.Granted = current && reply.AskedTerm > r.term && !r.hears()
	} else {
		reply.Granted = current && m.Term == r.term && (r.vote == "" || r.vote == m.FromId) && r.role != leader
	}
	if reply.Granted && !req.Pre {
		if r.vote == "" {
			r.setTerm(r.term, m.FromId)
		}
		r.resetPatience()
	}
	answer := r.message(m.FromId)
	answer.Body = &messenger.PeerMessage_VoteReply{VoteReply: reply}
	r.post(r.link(m.FromId, m.FromName, m.FromAddress), answer)
}
