package replicator

import (
	"context"
	"time"

	"verbenareach/internal/wire/messenger"
)

type (
	// peer is another control host. One goroutine sends its messages. Its fields are
	// guarded by the replicator's mu; those from match on are for the leader only.
	peer struct {
		id, name, address string
		// wake holds one item if the send goroutine may have something to send. cancel
		// ends that goroutine.
		wake   chan struct{}
		cancel context.CancelFunc
		// queue holds messages that may be sent once the recorder has synced its
		// records up to syncSeq.
		queue   []*messenger.PeerMessage
		syncSeq uint64
		// heardAt is the time of the peer's last message on the replicator's clock; 0 for none.
		heardAt time.Duration

		// match is the last index up to which the peer's log is known to be durable
		// and equal to the leader's; it never decreases within a term. next is the
		// next index to send: next > match.
		match, next uint64
		// probing is set until the peer's log is known to agree with the leader's. Until
		// then one append request, the probe, is sent per heartbeat. After that, entries
		// are sent without waiting for replies.
		probing bool
		// probeSent is set once the probe of this heartbeat is sent.
		probeSent bool
		// outstanding holds the last index of each unacknowledged message with entries.
		outstanding []uint64
		// heartbeatDue is set by each heartbeat until a message is sent.
		heartbeatDue bool
		// ackedAt is the time of the peer's last reply, or of its creation or the leader's
		// election, on the replicator's clock. ackedRound is the newest confirmation round
		// that it acknowledged; sentRound and sentCommit are the newest round and commit
		// index sent to it.
		ackedAt               time.Duration
		ackedRound, sentRound uint64
		sentCommit            uint64
		// outgoing is the snapshot being sent to the peer, nil if none.
		outgoing *outgoingSnapshot
	}

	// batch is a set of messages to send to a peer.
	batch struct {
		address  string
		messages []*messenger.PeerMessage
		// syncSeq is the record that the recorder must have synced before the messages are
		// sent.
		syncSeq uint64
	}
)

const (
	// maxOutstanding bounds the unacknowledged messages with entries to one peer.
	maxOutstanding = 8
	// maxAppendBytes bounds the data of entries in one message; the last entry may exceed
	// it.
	maxAppendBytes = 256 << 10
	// maxQueue bounds the queued messages of a peer.
	maxQueue = 1024
)

// alive reports whether the peer replied within the election timeout.
func (r *Replicator) alive(p *peer) bool {
	return r.clock-p.ackedAt < r.ElectionTimeout
}

// ensurePeer returns the peer with an id. If there is none, it creates the peer with its
// send goroutine and drops peers at the same address that are no members.
func (r *Replicator) ensurePeer(id, name, address string) *peer {
	if p := r.peers[id]; p != nil {
		p.address = address
		return p
	}
	for old, p := range r.peers {
		if p.address == address && r.member(old) == nil {
			p.cancel()
			delete(r.peers, old)
		}
	}
	p := &peer{id: id, name: name, address: address, wake: make(chan struct{}, 1)}
	p.ackedAt = r.clock
	p.probeFrom(r.lastIndex())
	ctx, cancel := context.WithCancel(r.ctx)
	p.cancel = cancel
	r.peers[id] = p
	r.wg.Go(func() { r.sendLoop(ctx, p) })
	return p
}

// updatePeers drops peers that are no members and creates a peer for each other member. A peer keeps
// the address at which it was last heard.
func (r *Replicator) updatePeers() {
	for id, p := range r.peers {
		if r.member(id) == nil {
			p.cancel()
			delete(r.peers, id)
		}
	}
	for _, m := range r.members() {
		if m.Id != r.rec.ID() && r.peers[m.Id] == nil {
			r.ensurePeer(m.Id, m.Name, m.Address)
		}
	}
}

func (r *Replicator) lastIndex() uint64 {
	last, _ := r.rec.Last()
	return last
}

// nextBatch removes p's queued messages and returns them, followed on the leader by
// the next message that is due to p.
func (r *Replicator) nextBatch(p *peer) batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := batch{address: p.address, messages: p.queue, syncSeq: p.syncSeq}
	p.queue = nil
	p.syncSeq = 0
	if r.role != leader || r.member(p.id) == nil {
		return b
	}
	if m := r.nextMessage(p); m != nil {
		b.messages = append(b.messages, m)
	}
	return b
}

// newMessage returns a message without a body to the host with an id.
func (r *Replicator) newMessage(id string) *messenger.PeerMessage {
	return &messenger.PeerMessage{
		FromId: r.rec.ID(), FromName: r.Name, FromAddress: r.Address, ToId: id, Term: r.term,
	}
}

// enqueue queues a message to p, to be sent once all records queued so far are durable. A
// full queue drops its oldest message.
func (r *Replicator) enqueue(p *peer, m *messenger.PeerMessage) {
	if len(p.queue) >= maxQueue {
		p.queue = p.queue[1:]
	}
	p.queue = append(p.queue, m)
	p.syncSeq = r.queuedSeq
	p.notify()
}

// sendFailed makes the leader probe the peer again with the next heartbeat. The reply to
// the probe shows which entries the peer lacks.
func (r *Replicator) sendFailed(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.probing = true
	p.probeSent = true
	p.outstanding = nil
	if p.outgoing != nil {
		p.outgoing.waiting = true
	}
}

// sendLoop sends the messages to one peer in order until ctx ends.
func (r *Replicator) sendLoop(ctx context.Context, p *peer) {
	for {
		b := r.nextBatch(p)
		if len(b.messages) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-p.wake:
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if err := r.sync(b.syncSeq); err != nil {
			// The batch is dropped, like messages that the network loses.
			r.mu.Lock()
			r.handleDiskError(err)
			r.mu.Unlock()
			continue
		}
		for _, m := range b.messages {
			if err := r.Send(ctx, b.address, m); err != nil {
				r.sendFailed(p)
				break
			}
		}
	}
}

// notify wakes the peer's send goroutine.
func (p *peer) notify() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// probeFrom restarts replication after an index with a probe and discards the progress
// beyond it.
func (p *peer) probeFrom(index uint64) {
	p.next = index + 1
	p.probing = true
	p.probeSent = false
	p.outstanding = nil
}
