package replicator

import (
	"context"
	"time"

	"verbenareach/internal/wire/messenger"
)

type (
	// peer is another control host, served by one goroutine.
	peer struct {
		id, name, address string
		wake              chan struct{}
		cancel            context.CancelFunc
		// queue are messages to be sent once the recorder has synced ticket.
		queue  []*messenger.PeerMessage
		ticket uint64

		// match is the last index known to be equal and durable there; it never
		// falls within a term. next is the next index to send: next > match.
		match, next uint64
		// probing is set until the host's log is known to follow the leader's;
		// then entries go out without waiting for answers.
		probing bool
		// probed is set once the probe of this heartbeat is sent.
		probed bool
		// outstanding are the last indexes of the messages sent but not answered.
		outstanding []uint64
		// beatDue is set by each heartbeat until a message goes out.
		beatDue bool
		// ackedAt is when the host last answered; ackedRound the newest round of
		// confirmation that it answered, sentRound and sentCommit what it was sent.
		ackedAt               time.Duration
		ackedRound, sentRound uint64
		sentCommit            uint64
		// sending is the snapshot that goes to the host, nil if none.
		sending *sending
	}

	// batch is what goes out to a peer next.
	batch struct {
		address  string
		messages []*messenger.PeerMessage
		// ticket is what the recorder has to sync before.
		ticket uint64
	}
)

const (
	// maxOutstanding bounds the messages with entries that no answer has come for.
	maxOutstanding = 8
	// maxAppendBytes bounds the data of entries in one message.
	maxAppendBytes = 256 << 10
	// maxQueue bounds the answers that wait for a peer.
	maxQueue = 1024
)

// alive tells whether the peer answered within the election timeout.
func (r *Replicator) alive(p *peer) bool {
	return r.clock-p.ackedAt < r.ElectionTimeout
}

// link returns the peer for a member, with a goroutine that serves it.
func (r *Replicator) link(id, name, address string) *peer {
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
	p.restartFrom(r.lastIndex())
	ctx, cancel := context.WithCancel(r.ctx)
	p.cancel = cancel
	r.peers[id] = p
	r.wg.Go(func() { r.serve(ctx, p) })
	return p
}

// linkMembers gives each member a peer, and takes it from hosts that are none.
func (r *Replicator) linkMembers() {
	for id, p := range r.peers {
		if r.member(id) == nil {
			p.cancel()
			delete(r.peers, id)
		}
	}
	for _, m := range r.members() {
		if m.Id != r.rec.ID() {
			r.link(m.Id, m.Name, m.Address)
		}
	}
}

func (r *Replicator) lastIndex() uint64 {
	last, _ := r.rec.Last()
	return last
}

// nextBatch takes what is to be sent to p now.
func (r *Replicator) nextBatch(p *peer) batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := batch{address: p.address, messages: p.queue, ticket: p.ticket}
	p.queue = nil
	p.ticket = 0
	if r.role != leader || r.member(p.id) == nil {
		return b
	}
	if m := r.replicate(p); m != nil {
		b.messages = append(b.messages, m)
	}
	return b
}

// message returns a message to p, without its body.
func (r *Replicator) message(id string) *messenger.PeerMessage {
	return &messenger.PeerMessage{
		FromId: r.rec.ID(), FromName: r.Name, FromAddress: r.Address, ToId: id, Term: r.term,
	}
}

// post queues a message to p that may go out once all records so far are durable.
func (r *Replicator) post(p *peer, m *messenger.PeerMessage) {
	if len(p.queue) >= maxQueue {
		p.queue = p.queue[1:]
	}
	p.queue = append(p.queue, m)
	p.ticket = r.ticket
	p.poke()
}

// sendFailed has the peer probed again with the next heartbeat. What it lacks it
// will tell.
func (r *Replicator) sendFailed(p *peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p.probing = true
	p.probed = true
	p.outstanding = nil
	if p.sending != nil {
		p.sending.waiting = true
	}
}

// serve sends to one peer, in order, until ctx ends.
func (r *Replicator) serve(ctx context.Context, p *peer) {
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
		if err := r.rec.Sync(b.ticket); err != nil {
			r.mu.Lock()
			r.diskError(err)
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

// poke has the peer's goroutine look for work.
func (p *peer) poke() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// restartFrom forgets what was sent after an index.
func (p *peer) restartFrom(index uint64) {
	p.next = index + 1
	p.probing = true
	p.probed = false
	p.outstanding = nil
}
