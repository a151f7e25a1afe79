package replicator

import (
	"context"
	"sync"
	"time"

	"verbenareach/internal/event/logger"
	"verbenareach/internal/wire/dialer"
	"verbenareach/internal/wire/messenger"
)

type (
	// stream sends messages to another host, which replies every replyInterval while bytes arrive
	// there. So a host that receives nothing after it has sent a message knows that the connection
	// is silent.
	stream struct {
		address  string
		client   messenger.DRPCPeers_ExchangeClient
		conn     *dialer.MonitoredConn
		openedAt time.Time
		log      *logger.Logger

		// sending is held while a message is sent.
		sending sync.Mutex

		// mu guards the fields below.
		mu sync.Mutex
		// unansweredSince is the end of the first send after which nothing was received. It is zero
		// if there is none, and outdated if something was received later.
		unansweredSince time.Time
		// check is the next check whether the stream is silent; nil if none is due.
		check *time.Timer
		// replied is set with the first reply.
		replied, ended bool
	}
)

const (
	// silenceTimeout is how long nothing may be received after a message was sent. It is well
	// below the election timeout, so that a leader keeps a follower whose connection is replaced.
	silenceTimeout = 450 * time.Millisecond
	// suspicionTimeout replaces silenceTimeout, for a stream whether in use or not, once the other
	// host has given up a connection to this one.
	suspicionTimeout = 300 * time.Millisecond
	// replyInterval is the time between two replies while bytes arrive. A message on a slow link
	// takes longer than that.
	replyInterval = 100 * time.Millisecond
)

// send sends a message.
func (s *stream) send(m *messenger.PeerMessage) error {
	s.sending.Lock()
	defer s.sending.Unlock()
	begun := time.Now()
	if err := s.client.Send(m); err != nil {
		return err
	}
	s.expectReply(begun, time.Now())
	return nil
}

// expectReply records that a message was sent from begun until now.
func (s *stream) expectReply(begun, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lastRead := s.conn.LastRead()
	if lastRead.After(begun) {
		return // This may be the reply.
	}
	if s.unansweredSince.IsZero() || lastRead.After(s.unansweredSince) {
		s.unansweredSince = now
	}
	if s.check == nil && !s.ended {
		s.check = time.AfterFunc(silenceTimeout, func() { s.checkSilence(time.Now()) })
	}
}

// checkSilence gives the stream up if nothing was received for silenceTimeout after a message was
// sent.
func (s *stream) checkSilence(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.check = nil
	if s.ended || s.conn.LastRead().After(s.unansweredSince) {
		return
	}
	if left := silenceTimeout - now.Sub(s.unansweredSince); left > 0 {
		s.check = time.AfterFunc(left, func() { s.checkSilence(time.Now()) })
		return
	}
	s.giveUp(now)
}

// isSuspect reports whether nothing was received for suspicionTimeout.
func (s *stream) isSuspect(now time.Time) bool {
	since := s.openedAt
	if lastRead := s.conn.LastRead(); lastRead.After(since) {
		since = lastRead
	}
	return now.Sub(since) >= suspicionTimeout
}

// receive receives replies until the stream ends, and closes its connection. It calls onReply with the
// first one.
func (s *stream) receive(onReply func()) error {
	defer s.end()
	for {
		if _, err := s.client.Recv(); err != nil {
			return err
		}
		if s.isFirstReply() {
			onReply()
		}
	}
}

// isFirstReply records a reply, and reports whether it is the first.
func (s *stream) isFirstReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := !s.replied
	s.replied = true
	return first
}

// end closes the connection and ends the checks.
func (s *stream) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	if s.check != nil {
		s.check.Stop()
	}
	_ = s.conn.Close()
}

// giveUp closes the connection, on which messages may have been lost.
func (s *stream) giveUp(now time.Time) {
	lastReply := "never"
	if at := s.conn.LastRead(); !at.IsZero() {
		lastReply = now.Sub(at).Round(time.Millisecond).String()
	}
	s.log.Emit(now, logger.ControlStreamSilent, "", logger.F("address", s.address),
		logger.F("age", now.Sub(s.openedAt).Round(time.Millisecond)), logger.F("lastReply", lastReply))
	_ = s.conn.Close()
}

// hadReply reports whether the stream had a reply.
func (s *stream) hadReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replied
}

// reply sends replies on a stream that another host opened, while bytes arrive on its connection and
// until ctx ends.
func reply(ctx context.Context, messages messenger.DRPCPeers_ExchangeStream, conn *dialer.MonitoredConn) {
	ticker := time.NewTicker(replyInterval)
	defer ticker.Stop()
	var replied time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		lastRead := conn.LastRead()
		if !lastRead.After(replied) {
			continue
		}
		replied = lastRead
		if messages.Send(&messenger.ExchangeReply{}) != nil {
			// The connection has failed, which ends the receiving side too.
			return
		}
	}
}
