package replicator

import (
	"time"

	"verbenareach/internal/control/recorder"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

type (
	// outgoingSnapshot is a snapshot being sent to a peer, one chunk at a time.
	outgoingSnapshot struct {
		snap   *messenger.LogSnapshot
		offset uint64
		// waiting is set while the last chunk sent, at sentAt on the replicator's clock, is
		// unacknowledged. After ElectionTimeout it is cleared and the chunk is sent again.
		waiting bool
		sentAt  time.Duration
	}

	// incomingSnapshot is a snapshot being received in chunks.
	incomingSnapshot struct {
		fromID string
		// index is the last index that the snapshot covers; leaderTerm is that of the leader
		// which sends it.
		index, leaderTerm uint64
		// total is the size of the complete data in bytes.
		total uint64
		data  []byte
	}

	// unpackedSnapshot is a received snapshot that the apply loop is to restore. state is
	// that of the application, unpacked.
	unpackedSnapshot struct {
		index uint64
		state []byte
	}
)

// chunkBytes bounds the data of a snapshot chunk, in bytes.
const chunkBytes = 256 << 10

// nextSnapshotMessage returns the next message to a peer that lacks entries which the log
// no longer holds: a snapshot chunk, or a heartbeat while a chunk is unacknowledged. It
// returns nil if none is due.
func (r *Replicator) nextSnapshotMessage(p *peer) *messenger.PeerMessage {
	snap := r.rec.Snapshot()
	s := p.outgoing
	// A snapshot that ends before the peer's next index is replaced by the newest one.
	if s == nil || s.snap.Index < p.next && s.snap != snap {
		s = &outgoingSnapshot{snap: snap}
		p.outgoing = s
	}
	if s.waiting && !p.heartbeatDue && p.sentRound >= r.round {
		return nil
	}
	if s.waiting {
		return r.emptyHeartbeat(p)
	}
	s.waiting = true
	s.sentAt = r.clock
	p.heartbeatDue = false
	p.sentRound = r.round
	end := min(s.offset+chunkBytes, uint64(len(s.snap.Data)))
	m := r.newMessage(p.id)
	m.Body = &messenger.PeerMessage_SnapshotChunk{SnapshotChunk: &messenger.SnapshotChunk{
		Index: s.snap.Index, IndexTerm: s.snap.Term, Members: s.snap.Members, Offset: s.offset,
		Total: uint64(len(s.snap.Data)), Data: s.snap.Data[s.offset:end], Round: r.round,
	}}
	return m
}

// emptyHeartbeat returns a heartbeat that matches any log, because its previous index is 0.
func (r *Replicator) emptyHeartbeat(p *peer) *messenger.PeerMessage {
	p.heartbeatDue = false
	p.sentRound = r.round
	m := r.newMessage(p.id)
	m.Body = &messenger.PeerMessage_AppendRequest{AppendRequest: &messenger.AppendRequest{Round: r.round}}
	return m
}

// handleSnapshotReply continues with the next chunk, or with the log once the snapshot is
// installed.
func (r *Replicator) handleSnapshotReply(m *messenger.PeerMessage, reply *messenger.SnapshotReply) {
	p := r.peers[m.FromId]
	if r.role != leader || p == nil || m.Term != r.term {
		return
	}
	p.ackedAt = r.clock
	r.recordRound(p, reply.Round)
	s := p.outgoing
	if s == nil || s.snap.Index != reply.Index {
		return
	}
	p.notify()
	if reply.Installed {
		p.match = max(p.match, s.snap.Index)
		p.outgoing = nil
		p.probeFrom(p.match)
		r.advanceCommit()
		return
	}
	s.offset = min(reply.Offset, uint64(len(s.snap.Data)))
	s.waiting = false
}

// handleSnapshotChunk receives a snapshot chunk and installs the snapshot after the last
// one.
func (r *Replicator) handleSnapshotChunk(m *messenger.PeerMessage, chunk *messenger.SnapshotChunk) {
	snap := r.assembleSnapshot(m, chunk)
	if snap == nil {
		return
	}
	err := r.installSnapshot(snap)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.installing = false
	r.lastContact = r.clock
	if err != nil {
		r.emit(logger.ControlSnapshotFailed, logger.F("index", snap.Index), logger.F("error", err))
		return
	}
	r.emit(logger.ControlSnapshotInstalled, logger.F("index", snap.Index), logger.F("from", m.FromName))
	r.replyToChunk(m, &messenger.SnapshotReply{Index: snap.Index, Offset: chunk.Total, Installed: true, Round: chunk.Round})
}

// assembleSnapshot appends a chunk to the snapshot being received and returns the snapshot
// once it is complete. Otherwise it returns nil, after replying with the progress unless the
// message is rejected or a snapshot is being installed.
func (r *Replicator) assembleSnapshot(m *messenger.PeerMessage, chunk *messenger.SnapshotChunk) *messenger.LogSnapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accept(m) || !r.followLeader(m) || r.installing {
		return nil
	}
	reply := &messenger.SnapshotReply{Index: chunk.Index, Round: chunk.Round}
	if chunk.Index <= r.commit {
		reply.Installed = true
		r.replyToChunk(m, reply)
		return nil
	}
	in := r.incoming
	if in == nil || in.fromID != m.FromId || in.index != chunk.Index || in.leaderTerm != m.Term {
		in = &incomingSnapshot{fromID: m.FromId, index: chunk.Index, leaderTerm: m.Term, total: chunk.Total}
		r.incoming = in
	}
	if chunk.Offset == uint64(len(in.data)) {
		in.data = append(in.data, chunk.Data...)
	}
	if uint64(len(in.data)) < in.total {
		reply.Offset = uint64(len(in.data))
		r.replyToChunk(m, reply)
		return nil
	}
	r.incoming = nil
	r.installing = true
	return &messenger.LogSnapshot{
		Index: chunk.Index, Term: chunk.IndexTerm, Members: chunk.Members, Data: in.data,
	}
}

func (r *Replicator) replyToChunk(m *messenger.PeerMessage, reply *messenger.SnapshotReply) {
	answer := r.newMessage(m.FromId)
	answer.Body = &messenger.PeerMessage_SnapshotReply{SnapshotReply: reply}
	r.enqueue(r.ensurePeer(m.FromId, m.FromName, m.FromAddress), answer)
}

// installSnapshot writes a received snapshot to disk. Unless the commit index has reached
// the snapshot's index meanwhile, it then replaces the log by the snapshot and queues it for
// the apply loop.
func (r *Replicator) installSnapshot(snap *messenger.LogSnapshot) error {
	state, err := recorder.Unpack(snap.Data)
	if err != nil {
		return err
	}
	r.snapshotLock.Lock()
	defer r.snapshotLock.Unlock()
	if err := r.rec.WriteSnapshot(snap); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if snap.Index <= r.commit {
		return nil
	}
	seq, err := r.rec.InstallSnapshot(snap)
	if err != nil {
		return err
	}
	r.queuedSeq = max(r.queuedSeq, seq)
	if err := r.loadMemberships(); err != nil {
		return err
	}
	r.updatePeers()
	r.pendingRestore = &unpackedSnapshot{index: snap.Index, state: state}
	r.setCommit(snap.Index)
	r.work.Broadcast()
	return nil
}

// restoreApplication replaces the application's state with a snapshot. An error of Restore
// ends Run. The apply loop calls it.
func (r *Replicator) restoreApplication(snap *unpackedSnapshot) {
	err := r.Restore(snap.index, snap.state)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.fail(err)
		return
	}
	r.applied = max(r.applied, snap.index)
	r.failWaiters(snap.index, errSnapshotInstalled)
	r.signalChange()
}

// maybeSnapshot takes a snapshot once SnapshotEntries entries or SnapshotBytes of commands
// have been applied since the last one. The apply loop calls it; another goroutine writes
// the file.
func (r *Replicator) maybeSnapshot() {
	r.mu.Lock()
	index := r.applied
	saved := r.rec.Snapshot().GetIndex()
	due := index >= saved+r.SnapshotEntries || index > saved && r.unsavedBytes >= r.SnapshotBytes
	due = due && !r.snapshotting && !r.diskFull
	term, ok := r.rec.Term(index)
	due = due && ok && r.running
	if due {
		r.snapshotting = true
		r.unsavedBytes = 0
	}
	members := r.membershipAt(index).members
	r.mu.Unlock()
	if !due {
		return
	}
	state, err := r.Snapshot()
	r.wg.Go(func() {
		if err == nil {
			err = r.saveSnapshot(&messenger.LogSnapshot{Index: index, Term: term, Members: members}, state)
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.snapshotting = false
		if r.unsavedBytes >= r.SnapshotBytes {
			// Without another entry to apply, nothing else would wake the apply loop for
			// the next snapshot.
			r.snapshotDue = true
			r.work.Broadcast()
		}
		if err != nil {
			r.emit(logger.ControlSnapshotFailed, logger.F("index", index), logger.F("error", err))
			return
		}
		r.emit(logger.ControlSnapshotSaved, logger.F("index", index), logger.F("bytes", len(state)))
	})
}

// saveSnapshot writes a snapshot of the application and compacts the log, unless a newer
// snapshot was installed meanwhile. For hosts that are slightly behind, the log keeps at most
// TrailingEntries entries with half of SnapshotBytes up to the snapshot's index.
func (r *Replicator) saveSnapshot(snap *messenger.LogSnapshot, state []byte) error {
	var err error
	if snap.Data, err = recorder.Pack(state); err != nil {
		return err
	}
	r.snapshotLock.Lock()
	defer r.snapshotLock.Unlock()
	if snap.Index <= r.rec.Snapshot().GetIndex() {
		return nil
	}
	return r.rec.SaveSnapshot(snap, r.rec.CompactIndex(snap.Index, r.TrailingEntries, r.SnapshotBytes/2))
}
