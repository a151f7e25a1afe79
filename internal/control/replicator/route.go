package replicator

import (
	"sync"
	"time"

	"verbenareach/internal/wire/dialer"
)

// route holds the connections of the streams to and from another host.
type route struct {
	// opening is held while a stream is opened.
	opening sync.Mutex

	mu sync.Mutex
	// failing is set from the first stream that could not be opened, or had no reply, until one has.
	failing bool
	// opened is the stream on which messages are sent; nil if one is to be opened.
	opened *stream
	// accepted is the connection of the stream that the other host opened last; nil if there is none.
	accepted *dialer.MonitoredConn
}

// stream returns the stream on which messages are sent; nil if there is none.
func (r *route) stream() *stream {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opened
}

// setStream sets the stream on which messages are sent.
func (r *route) setStream(s *stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened = s
}

// setFailing sets whether streams fail, and reports whether that is news.
func (r *route) setFailing(failing bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := r.failing != failing
	r.failing = failing
	return news
}

// remove removes a stream that has ended.
func (r *route) remove(s *stream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.opened == s {
		r.opened = nil
	}
}

// accept records the connection of a stream that the other host has opened. The other host has given
// up the former one, which is closed. If that was silent, the stream to that host may be too.
func (r *route) accept(now time.Time, conn *dialer.MonitoredConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	former := r.accepted
	r.accepted = conn
	if former == nil {
		return
	}
	_ = former.Close()
	if r.opened != nil && r.opened.isSuspect(now) {
		r.opened.giveUp(now)
		r.opened = nil
	}
}

// release forgets the connection of a stream that has ended.
func (r *route) release(conn *dialer.MonitoredConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accepted == conn {
		r.accepted = nil
	}
}

// close closes all connections.
func (r *route) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.opened != nil {
		_ = r.opened.conn.Close()
	}
	if r.accepted != nil {
		_ = r.accepted.Close()
	}
}
