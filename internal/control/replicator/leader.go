package replicator

import (
	"slices"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

// advanceCommit raises the commit index to the last entry that a quorum of voters
// holds durably, if that entry is of the leader's own term. A leader that is no longer
// a member then steps down.
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
		p.notify()
	}
	if m := r.membership(); m.index <= r.commit && r.member(r.rec.ID()) == nil {
		r.becomeFollower(r.term, Peer{})
	}
}

// appendAsLeader appends an entry in the leader's term and returns its index.
func (r *Replicator) appendAsLeader(kind messenger.LogEntry_Kind, data []byte) (uint64, error) {
	e := &messenger.LogEntry{Index: r.lastIndex() + 1, Term: r.term, Kind: kind, Data: data}
	if err := r.appendEntries(e); err != nil {
		return 0, err
	}
	for _, p := range r.peers {
		p.notify()
	}
	return e.Index, nil
}

// appendEntries appends entries to the log, replaces conflicting ones, and applies
// the membership changes among them.
func (r *Replicator) appendEntries(entries ...*messenger.LogEntry) error {
	seq, err := r.rec.Append(entries...)
	if err != nil {
		return err
	}
	r.queuedSeq = seq
	r.work.Broadcast()
	return r.updateMemberships(entries)
}

// sendHeartbeats makes a heartbeat due to each peer, and a snapshot chunk again that was
// not acknowledged within the election timeout. A leader without a live quorum steps down
// instead.
func (r *Replicator) sendHeartbeats() {
	if !r.hasQuorum(func(p *peer) bool { return r.alive(p) }) {
		r.emit(logger.ControlLeaderLost, logger.F("term", r.term), logger.F("heard", r.sinceHeard()))
		r.becomeFollower(r.term, Peer{})
		return
	}
	for _, p := range r.peers {
		p.heartbeatDue = true
		if p.outgoing != nil && r.clock-p.outgoing.sentAt >= r.ElectionTimeout {
			p.outgoing.waiting = false
		}
		p.notify()
	}
	r.signalChange()
}

// becomeLeader makes the host leader and appends an entry of the new term: once
// that entry is committed, so are all entries before it.
func (r *Replicator) becomeLeader() {
	r.role = leader
	r.leader = Peer{Name: r.Name, Address: r.Address}
	r.selfMatch = 0
	r.transferTo = ""
	r.updatePeers()
	for _, p := range r.peers {
		p.match = 0
		p.outgoing = nil
		p.probeFrom(r.lastIndex())
		p.ackedAt = r.clock
		p.ackedRound, p.sentRound, p.sentCommit = 0, 0, 0
	}
	r.emit(logger.ControlLeaderElected, logger.F("term", r.term))
	r.signalChange()
	index, err := r.appendAsLeader(messenger.LogEntry_KIND_LEADER, nil)
	if err != nil {
		r.fail(err)
		return
	}
	r.firstOfTerm = index
}

// hasQuorum reports whether f holds for a majority of the voters. This host, if it votes,
// counts as one for which f holds.
func (r *Replicator) hasQuorum(f func(p *peer) bool) bool {
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

// nextMessage returns the leader's next message to p, nil if none is due.
func (r *Replicator) nextMessage(p *peer) *messenger.PeerMessage {
	if p.next < r.rec.FirstIndex() {
		return r.nextSnapshotMessage(p)
	}
	p.outgoing = nil
	last := r.lastIndex()
	due := p.heartbeatDue || p.sentRound < r.round
	var entries []*messenger.LogEntry
	switch {
	case p.probing && (p.heartbeatDue || !p.probeSent):
		entries, _ = r.rec.Entries(p.next, maxAppendBytes)
		p.probeSent = true
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

// appendMessage returns an append request with entries that start at p.next, and records
// that they are sent.
func (r *Replicator) appendMessage(p *peer, entries []*messenger.LogEntry) *messenger.PeerMessage {
	prev := p.next - 1
	prevTerm, _ := r.rec.Term(prev)
	p.heartbeatDue = false
	p.sentRound = r.round
	p.sentCommit = r.commit
	if n := uint64(len(entries)); n > 0 && !p.probing {
		p.next += n
		p.outstanding = append(p.outstanding, p.next-1)
	}
	m := r.newMessage(p.id)
	m.Body = &messenger.PeerMessage_AppendRequest{AppendRequest: &messenger.AppendRequest{
		PrevIndex: prev, PrevTerm: prevTerm, Entries: entries, Commit: r.commit, Round: r.round,
	}}
	return m
}

// setCommit raises the commit index to index; it never lowers it.
func (r *Replicator) setCommit(index uint64) {
	if index <= r.commit {
		return
	}
	r.commit = index
	r.rec.SetCommit(index)
	r.work.Broadcast()
	r.signalChange()
}

// handleAppendReply updates the progress of a follower and the commit index from its reply.
func (r *Replicator) handleAppendReply(m *messenger.PeerMessage, reply *messenger.AppendReply) {
	p := r.peers[m.FromId]
	last := r.lastIndex()
	if r.role != leader || p == nil || m.Term != r.term || reply.Match > last {
		return
	}
	p.ackedAt = r.clock
	r.recordRound(p, reply.Round)
	if reply.Rejected {
		if reply.Match < p.match || reply.Match+1 >= p.next {
			return
		}
		p.probeFrom(reply.Match)
		p.notify()
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
	p.notify()
	r.advanceCommit()
	if m := r.member(p.id); r.transferTo != "" || m != nil && !m.Voter {
		r.signalChange()
	}
}

// recordRound records the newest confirmation round that a peer has acknowledged.
func (r *Replicator) recordRound(p *peer, round uint64) {
	if round > p.ackedRound {
		p.ackedRound = round
		r.signalChange()
	}
}
