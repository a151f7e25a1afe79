package replicator

import (
	"time"

	"verbenareach/internal/control/recorder"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

type (
	// sending is a snapshot on its way to a peer, one chunk after the other.
	sending struct {
		snap   *messenger.LogSnapshot
		offset uint64
		// waiting is set until the last chunk is answered.
		waiting bool
		sentAt  time.Duration
	}

	// incoming is a snapshot that arrives in chunks.
	incoming struct {
		fromID      string
		index, term uint64
		total       uint64
		data        []byte
	}

	// restoration is a snapshot for the application.
	restoration struct {
		index uint64
		state []byte
	}
)

// chunkBytes is the size of a chunk of a snapshot.
const chunkBytes = 256 << 10

// nextChunk returns the next message to a peer that is too far behind for the log.
func (r *Replicator) nextChunk(p *peer) *messenger.PeerMessage {
	snap := r.rec.Snapshot()
	s := p.sending
	if s == nil || s.snap.Index < p.next && s.snap != snap {
		s = &sending{snap: snap}
		p.sending = s
	}
	if s.waiting && !p.beatDue && p.sentRound >= r.round {
		return nil
	}
	if s.waiting {
		return r.emptyBeat(p)
	}
	s.waiting = true
	s.sentAt = r.clock
	p.beatDue = false
	p.sentRound = r.round
	end := min(s.offset+chunkBytes, uint64(len(s.snap.Data)))
	m := r.message(p.id)
	m.Body = &messenger.PeerMessage_SnapshotChunk{SnapshotChunk: &messenger.SnapshotChunk{
		Index: s.snap.Index, IndexTerm: s.snap.Term, Members: s.snap.Members, Offset: s.offset,
		Total: uint64(len(s.snap.Data)), Data: s.snap.Data[s.offset:end], Round: r.round,
	}}
	return m
}

// emptyBeat is a heartbeat that says nothing of the log: it matches any.
func (r *Replicator) emptyBeat(p *peer) *messenger.PeerMessage {
	p.beatDue = false
	p.sentRound = r.round
	m := r.message(p.id)
	m.Body = &messenger.PeerMessage_AppendRequest{AppendRequest: &messenger.AppendRequest{Round: r.round}}
	return m
}

// takeSnapshotReply goes on with the next chunk, or with the log.
func (r *Replicator) takeSnapshotReply(m *messenger.PeerMessage, reply *messenger.SnapshotReply) {
	p := r.peers[m.FromId]
	if r.role != leader || p == nil || m.Term != r.term {
		return
	}
	p.ackedAt = r.clock
	r.takeRound(p, reply.Round)
	s := p.sending
	if s == nil || s.snap.Index != reply.Index {
		return
	}
	p.poke()
	if reply.Installed {
		p.match = max(p.match, s.snap.Index)
		p.sending = nil
		p.restartFrom(p.match)
		r.advanceCommit()
		return
	}
	s.offset = min(reply.Offset, uint64(len(s.snap.Data)))
	s.waiting = false
}

// receiveChunk takes a part of a snapshot, and installs it with the last one.
func (r *Replicator) receiveChunk(m *messenger.PeerMessage, chunk *messenger.SnapshotChunk) {
	snap := r.collect(m, chunk)
	if snap == nil {
		return
	}
	err := r.install(snap)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.installing = false
	r.heardAt = r.clock
	if err != nil {
		r.emit(logger.ControlSnapshotFailed, logger.F("index", snap.Index), logger.F("error", err))
		return
	}
	r.emit(logger.ControlSnapshotInstalled, logger.F("index", snap.Index), logger.F("from", m.FromName))
	r.answerChunk(m, &messenger.SnapshotReply{Index: snap.Index, Offset: chunk.Total, Installed: true, Round: chunk.Round})
}

// collect joins a chunk to those before it and returns the snapshot when it is whole.
func (r *Replicator) collect(m *messenger.PeerMessage, chunk *messenger.SnapshotChunk) *messenger.LogSnapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.accept(m) || !r.followLeader(m) || r.installing {
		return nil
	}
	reply := &messenger.SnapshotReply{Index: chunk.Index, Round: chunk.Round}
	if chunk.Index <= r.commit {
		reply.Installed = true
		r.answerChunk(m, reply)
		return nil
	}
	in := r.incoming
	if in == nil || in.fromID != m.FromId || in.index != chunk.Index || in.term != m.Term {
		in = &incoming{fromID: m.FromId, index: chunk.Index, term: m.Term, total: chunk.Total}
		r.incoming = in
	}
	if chunk.Offset == uint64(len(in.data)) {
		in.data = append(in.data, chunk.Data...)
	}
	if uint64(len(in.data)) < in.total {
		reply.Offset = uint64(len(in.data))
		r.answerChunk(m, reply)
		return nil
	}
	r.incoming = nil
	r.installing = true
	return &messenger.LogSnapshot{
		Index: chunk.Index, Term: chunk.IndexTerm, Members: chunk.Members, Data: in.data,
	}
}

func (r *Replicator) answerChunk(m *messenger.PeerMessage, reply *messenger.SnapshotReply) {
	answer := r.message(m.FromId)
	answer.Body = &messenger.PeerMessage_SnapshotReply{SnapshotReply: reply}
	r.post(r.link(m.FromId, m.FromName, m.FromAddress), answer)
}

// install makes a received snapshot durable and hands it to the applier.
func (r *Replicator) install(snap *messenger.LogSnapshot) error {
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
	ticket, err := r.rec.AdoptSnapshot(snap)
	if err != nil {
		return err
	}
	r.ticket = max(r.ticket, ticket)
	if err := r.loadMemberships(); err != nil {
		return err
	}
	r.linkMembers()
	r.restore = &restoration{index: snap.Index, state: state}
	r.setCommit(snap.Index)
	r.work.Broadcast()
	return nil
}

// restoreNow gives a snapshot to the application. It runs on the applier's goroutine.
func (r *Replicator) restoreNow(snap *restoration) {
	err := r.Restore(snap.index, snap.state)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.fail(err)
		return
	}
	r.applied = max(r.applied, snap.index)
	r.dropWaiters(snap.index, errReplaced)
	r.bump()
}

// maybeSnapshot takes a snapshot when enough has been applied since the last one.
// It runs on the applier's goroutine; the file is written on another.
func (r *Replicator) maybeSnapshot() {
	r.mu.Lock()
	index := r.applied
	saved := r.rec.Snapshot().GetIndex()
	due := index >= saved+r.SnapshotEntries || index > saved && r.unsaved >= r.SnapshotBytes
	due = due && !r.snapshotting && !r.full
	term, ok := r.rec.Term(index)
	due = due && ok && r.running
	if due {
		r.snapshotting = true
		r.unsaved = 0
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
		if r.unsaved >= r.SnapshotBytes {
			// No further entry may come to ask for the next snapshot.
			r.recheck = true
			r.work.Broadcast()
		}
		if err != nil {
			r.emit(logger.ControlSnapshotFailed, logger.F("index", index), logger.F("error", err))
			return
		}
		r.emit(logger.ControlSnapshotSaved, logger.F("index", index), logger.F("bytes", len(state)))
	})
}

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
	return r.rec.SaveSnapshot(snap, r.rec.Trail(snap.Index, r.TrailingEntries, r.SnapshotBytes/2))
}
