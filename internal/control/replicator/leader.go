package replicator

import (
	"slices"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

// advanceCommit commits what a quorum of voters holds durably, if it ends with an
// entry of the leader's own term.
func (r *Replicator) advanceCommit() {
	var matches []uint64
	for _, m := range r.members() {
		if !m.Voter {
			continue
		}
		if m.Id == r.rec.ID() {
			matches = append(matches, r.selfMatch)
		} else {
			matches = append(matches, r.peers[m.Id].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	if term, ok := r.rec.Term(index); index <= r.commit || !ok || term != r.term {
		return
	}
	r.setCommit(index)
	for _, p := range r.peers {
		p.poke()
	}
	if m := r.membership(); m.index <= r.commit && r.member(r.rec.ID()) == nil {
		r.becomeFollower(r.term, Peer{})
	}
}

// appendOwn appends an entry in the leader's term and returns its index.
func (r *Replicator) appendOwn(kind messenger.LogEntry_Kind, data []byte) (uint64, error) {
	e := &messenger.LogEntry{Index: r.lastIndex() + 1, Term: r.term, Kind: kind, Data: data}
	if err := r.appendEntries(e); err != nil {
		return 0, err
	}
	for _, p := range r.peers {
		p.poke()
	}
	return e.Index, nil
}

// appendEntries appends to the log, replaces what conflicts, and follows the
// memberships among the entries.
func (r *Replicator) appendEntries(entries ...*messenger.LogEntry) error {
	ticket, err := r.rec.Append(entries...)
	if err != nil {
		return err
	}
	r.ticket = ticket
	r.work.Broadcast()
	return r.followMemberships(entries)
}

// beat makes heartbeats due, and ends a leadership that has lost its quorum.
func (r *Replicator) beat() {
	if !r.quorum(func(p *peer) bool { return r.alive(p) }) {
		r.emit(logger.ControlLeaderLost, logger.F("term", r.term))
		r.becomeFollower(r.term, Peer{})
		return
	}
	for _, p := range r.peers {
		p.beatDue = true
		if p.sending != nil && r.clock-p.sending.sentAt >= r.ElectionTimeout {
			p.sending.waiting = false
		}
		p.poke()
	}
	r.bump()
}

// becomeLeader begins a leadership with an entry of its own term: once that is
// committed, so is all before it.
func (r *Replicator) becomeLeader() {
	r.role = leader
	r.leader = Peer{Name: r.Name, Address: r.Address}
	r.selfMatch = 0
	r.transferTo = ""
	r.linkMembers()
	for _, p := range r.peers {
		p.match = 0
		p.sending = nil
		p.restartFrom(r.lastIndex())
		p.ackedAt = r.clock
		p.ackedRound, p.sentRound, p.sentCommit = 0, 0, 0
	}
	r.emit(logger.ControlLeaderElected, logger.F("term", r.term))
	r.bump()
	index, err := r.appendOwn(messenger.LogEntry_KIND_LEADER, nil)
	if err != nil {
		r.fail(err)
		return
	}
	r.firstOfTerm = index
}

// quorum tells whether f holds for a majority of voters, this host counted as one for
// which it holds.
func (r *Replicator) quorum(f func(p *peer) bool) bool {
	voters, yes := 0, 0
	for _, m := range r.members() {
		if !m.Voter {
			continue
		}
		voters++
		if m.Id == r.rec.ID() || r.peers[m.Id] != nil && f(r.peers[m.Id]) {
			yes++
		}
	}
	return yes > voters/2
}

// replicate returns the next message of the leader to p, nil if none is due.
func (r *Replicator) replicate(p *peer) *messenger.PeerMessage {
	if p.next < r.rec.FirstIndex() {
		return r.nextChunk(p)
	}
	p.sending = nil
	last := r.lastIndex()
	due := p.beatDue || p.sentRound < r.round
	var entries []*messenger.LogEntry
	switch {
	case p.probing && (p.beatDue || !p.probed):
		entries, _ = r.rec.Entries(p.next, maxAppendBytes)
		p.probed = true
		due = true
	case !p.probing && p.next <= last && len(p.outstanding) < maxOutstanding:
		entries, _ = r.rec.Entries(p.next, maxAppendBytes)
		due = true
	case !p.probing && len(p.outstanding) == 0 && p.sentCommit < r.commit:
		due = true
	}
	if !due {
		return nil
	}
	return r.appendMessage(p, entries)
}

func (r *Replicator) appendMessage(p *peer, entries []*messenger.LogEntry) *messenger.PeerMessage {
	prev := p.next - 1
	prevTerm, _ := r.rec.Term(prev)
	p.beatDue = false
	p.sentRound = r.round
	p.sentCommit = r.commit
	if n := uint64(len(entries)); n > 0 && !p.probing {
		p.next += n
		p.outstanding = append(p.outstanding, p.next-1)
	}
	m := r.message(p.id)
	m.Body = &messenger.PeerMessage_AppendRequest{AppendRequest: &messenger.AppendRequest{
		PrevIndex: prev, PrevTerm: prevTerm, Entries: entries, Commit: r.commit, Round: r.round,
	}}
	return m
}

// setCommit raises the commit index.
func (r *Replicator) setCommit(index uint64) {
	if index <= r.commit {
		return
	}
	r.commit = index
	r.rec.SetCommit(index)
	r.work.Broadcast()
	r.bump()
}

// takeAppendReply takes a follower's answer.
func (r *Replicator) takeAppendReply(m *messenger.PeerMessage, reply *messenger.AppendReply) {
	p := r.peers[m.FromId]
	last := r.lastIndex()
	if r.role != leader || p == nil || m.Term != r.term || reply.Match > last {
		return
	}
	p.ackedAt = r.clock
	r.takeRound(p, reply.Round)
	if reply.Rejected {
		if reply.Match < p.match || reply.Match+1 >= p.next {
			return
		}
		p.restartFrom(reply.Match)
		p.poke()
		return
	}
	p.match = max(p.match, reply.Match)
	p.next = max(p.next, p.match+1)
	if p.probing {
		p.probing = false
		p.next = p.match + 1
	}
	for len(p.outstanding) > 0 && p.outstanding[0] <= p.match {
		p.outstanding = p.outstanding[1:]
	}
	p.poke()
	r.advanceCommit()
	if m := r.member(p.id); r.transferTo != "" || m != nil && !m.Voter {
		r.bump()
	}
}

func (r *Replicator) takeRound(p *peer, round uint64) {
	if round > p.ackedRound {
		p.ackedRound = round
		r.bump()
	}
}
