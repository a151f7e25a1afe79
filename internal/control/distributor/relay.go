package distributor

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/wire/messenger"
)

const (
	// maxRelays bounds the entries tried for one mark.
	maxRelays = 3
	// relayTimeout bounds the wait for one entry's answer.
	relayTimeout = 2 * time.Second
)

// RelayMark sends a mark to the agent at address through an entry that follows
// this host. It tries up to maxRelays entries, and returns the agent's answer and
// the name of the entry.
func (d *Distributor) RelayMark(ctx context.Context, address string, m *messenger.MarkRequest) (*messenger.MarkReply, string, error) {
	err := eris.Errorf("no entry follows %s", d.Host)
	for i, s := range d.entrySessions() {
		if i == maxRelays {
			break
		}
		var reply *messenger.MarkReply
		if reply, err = d.relayThrough(ctx, s, address, m); err == nil {
			return reply, s.member.Name, nil
		}
	}
	return nil, "", err
}

// entrySessions returns the sessions of entries, in random order.
func (d *Distributor) entrySessions() []*session {
	d.mu.Lock()
	defer d.mu.Unlock()
	var entries []*session
	for s := range d.sessions {
		if s.member.Role == registrar.RoleEntry {
			entries = append(entries, s)
		}
	}
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries
}

// relayThrough sends a mark to the agent at address through one entry, and waits for
// the answer. Answers that come later are dropped.
func (d *Distributor) relayThrough(ctx context.Context, s *session, address string, m *messenger.MarkRequest) (*messenger.MarkReply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	answer := make(chan *messenger.RelayedMark, 1)
	d.mu.Lock()
	d.lastRelayID++
	id := d.lastRelayID
	d.pendingRelays[id] = answer
	s.relays = append(s.relays, &messenger.RelayMark{Id: id, Address: address, Mark: m})
	s.wake()
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.pendingRelays, id)
	}()
	select {
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "entry gave no answer")
	case r := <-answer:
		if r.GetError() != "" {
			return nil, eris.New(r.GetError())
		}
		return r.GetReply(), nil
	}
}
