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

// marker has agents confirm their marks: directly, through entries, and through
// the other control hosts, while the stream to the agent does so as well.
type marker struct {
	c *Controller

	mu sync.Mutex
	// acks are the newest answers of agents, by server.
	acks map[string]*messenger.MarkAck
	// busy has the number of the mark that is being pushed, by server.
	busy map[string]uint64
}

const (
	markRetry = 500 * time.Millisecond
	// markAttempts bounds how often an agent is tried for one mark; the stream
	// and a repeated command go on after it.
	markAttempts = 120
	// markWarnAfter is the attempt at which a missing confirmation is reported.
	markWarnAfter = 6
)

// list returns the newest answers of agents.
func (m *marker) list() []*messenger.MarkAck {
	m.mu.Lock()
	defer m.mu.Unlock()
	var acks []*messenger.MarkAck
	for _, a := range m.acks {
		acks = append(acks, a)
	}
	return acks
}

// start pushes a mark, unless that one is being pushed already.
func (m *marker) start(ctx context.Context, mark registrar.Mark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy[mark.Server] >= mark.Number {
		return
	}
	if m.busy == nil {
		m.busy = make(map[string]uint64)
	}
	m.busy[mark.Server] = mark.Number
	m.c.background.Go(func() {
		m.push(ctx, mark)
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.busy[mark.Server] == mark.Number {
			delete(m.busy, mark.Server)
		}
	})
}

// push tries until the agent confirms the mark or a newer one is in force.
func (m *marker) push(ctx context.Context, mark registrar.Mark) {
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
		case <-time.After(markRetry):
		}
	}
}

func (m *marker) pushOnce(ctx context.Context, member registrar.Member, mark registrar.Mark) bool {
	r := &messenger.PushMarkRequest{
		Address: member.Address,
		Mark:    &messenger.MarkRequest{Server: mark.Server, Number: mark.Number, Leaving: mark.Leaving},
	}
	reply, err := m.reach(ctx, r)
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

// reach tells the agent directly, or else through entries that follow this host.
func (m *marker) reach(ctx context.Context, r *messenger.PushMarkRequest) (*messenger.PushMarkReply, error) {
	if r.GetAddress() == "" {
		return nil, eris.New("the agent has no address")
	}
	if reply, err := m.c.peers.agent(ctx, r.GetAddress(), r.GetMark()); err == nil {
		return &messenger.PushMarkReply{Reply: reply, By: "direct"}, nil
	}
	reply, entry, err := m.c.distributor.RelayMark(ctx, r.GetAddress(), r.GetMark())
	if err != nil {
		return nil, err
	}
	return &messenger.PushMarkReply{Reply: reply, By: entry}, nil
}
