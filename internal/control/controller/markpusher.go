package controller

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"verbenareach/internal/control/registrar"
	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/messenger"
)

// markPusher sends marks, which state whether a backend server is to leave service,
// to agents until they confirm them: directly, else through an entry, else through
// the other control hosts. This is in addition to the streams that agents follow.
type markPusher struct {
	c *Controller

	mu sync.Mutex
	// acks holds the last confirmation of each agent, by server.
	acks map[string]*messenger.MarkAck
	// pushing holds the highest number among the marks being pushed, by server.
	pushing map[string]uint64
}

const (
	// markRetryDelay is the wait between two attempts.
	markRetryDelay = 500 * time.Millisecond
	// markAttempts bounds the attempts for one mark; after them the mark can still
	// be confirmed on the stream, or be pushed again if the operator repeats the
	// request.
	markAttempts = 120
	// markWarnAfter is the index, from 0, of the attempt after which a missing
	// confirmation is logged.
	markWarnAfter = 6
)

// listAcks returns the last confirmation of each agent, in no order.
func (m *markPusher) listAcks() []*messenger.MarkAck {
	m.mu.Lock()
	defer m.mu.Unlock()
	var acks []*messenger.MarkAck
	for _, a := range m.acks {
		acks = append(acks, a)
	}
	return acks
}

// start pushes a mark in the background, unless it or a newer mark of the server is
// being pushed already.
func (m *markPusher) start(ctx context.Context, mark registrar.Mark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pushing[mark.Server] >= mark.Number {
		return
	}
	if m.pushing == nil {
		m.pushing = make(map[string]uint64)
	}
	m.pushing[mark.Server] = mark.Number
	m.c.background.Go(func() {
		m.push(ctx, mark)
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.pushing[mark.Server] == mark.Number {
			delete(m.pushing, mark.Server)
		}
	})
}

// push retries until the agent confirms the mark or a newer one, this host has
// applied a newer one, markAttempts are used up, or ctx ends. It makes no attempt
// while no agent of the server is live.
func (m *markPusher) push(ctx context.Context, mark registrar.Mark) {
	for attempt := range markAttempts {
		view := m.c.distributor.View()
		if ctx.Err() != nil || view.Mark(mark.Server).Number > mark.Number {
			return
		}
		member, live := view.Member(mark.Server)
		if live && m.pushOnce(ctx, member, mark) {
			return
		}
		if attempt == markWarnAfter {
			m.c.Log.Emit(time.Now(), logger.MarkUnconfirmed, "", logger.F("server", mark.Server),
				logger.F("number", mark.Number), logger.F("live", live))
		}
		select {
		case <-ctx.Done():
		case <-time.After(markRetryDelay):
		}
	}
}

// pushOnce makes one attempt, and reports whether the agent confirmed the mark or a
// newer one. It records and logs the confirmation.
func (m *markPusher) pushOnce(ctx context.Context, member registrar.Member, mark registrar.Mark) bool {
	r := &messenger.PushMarkRequest{
		Address: member.Address,
		Mark:    &messenger.MarkRequest{Server: mark.Server, Number: mark.Number, Leaving: mark.Leaving},
	}
	reply, err := m.deliver(ctx, r)
	if err != nil {
		reply, err = m.c.peers.pushMark(ctx, r)
	}
	if err != nil || reply.GetReply().GetNumber() < mark.Number {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.acks == nil {
		m.acks = make(map[string]*messenger.MarkAck)
	}
	m.acks[mark.Server] = &messenger.MarkAck{
		Server: mark.Server, Incarnation: member.Incarnation, Number: reply.GetReply().GetNumber(),
		InProgress: reply.GetReply().GetInProgress(), By: reply.GetBy(),
	}
	m.c.Log.Emit(time.Now(), logger.MarkConfirmed, "", logger.F("server", mark.Server),
		logger.F("number", mark.Number), logger.F("by", reply.GetBy()))
	return true
}

// deliver sends a mark to the agent directly, else through entries that follow this
// host. By in the reply is "direct" or the entry's name.
func (m *markPusher) deliver(ctx context.Context, r *messenger.PushMarkRequest) (*messenger.PushMarkReply, error) {
	if r.GetAddress() == "" {
		return nil, eris.New("the agent has no address")
	}
	if reply, err := m.c.peers.markAgent(ctx, r.GetAddress(), r.GetMark()); err == nil {
		return &messenger.PushMarkReply{Reply: reply, By: "direct"}, nil
	}
	reply, entry, err := m.c.distributor.RelayMark(ctx, r.GetAddress(), r.GetMark())
	if err != nil {
		return nil, err
	}
	return &messenger.PushMarkReply{Reply: reply, By: entry}, nil
}
