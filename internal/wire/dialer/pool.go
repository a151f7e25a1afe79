// Package dialer opens and pools connections to the system's other processes.
package dialer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"verbenareach/internal/event/logger"
)

const (
	// DialTimeout bounds a dial.
	DialTimeout = 500 * time.Millisecond
	// WriteTimeout bounds a write to another host.
	WriteTimeout = time.Second
	// proofOfLife is how long a connection may be reused after bytes were last received on it. An
	// open connection can go silent without an error.
	proofOfLife    = 250 * time.Millisecond
	idleCapacity   = 4096
	idlePerAddress = 64
)

type (
	// Pool keeps connections by address for reuse, as long as bytes were received on them lately.
	// Each call or stream uses a connection of its own. Set its exported fields before first use.
	Pool struct {
		// Dial opens a transport to an address. By default it dials TCP, with a timeout for each
		// write. Others should bound writes too.
		Dial func(ctx context.Context, address string) (drpc.Transport, error)
		// Options are those of each connection.
		Options drpcconn.Options
		// Silenced is called for each connection that is given up as silent; nil for no call.
		Silenced func(now time.Time, s Silence)

		mu sync.Mutex
		// open holds the open connections, idle those of them that can be reused, the last used one
		// last. open is nil once the pool is closed.
		open map[*connection]struct{}
		idle map[string][]*connection
		// idleCount is the number of connections in idle.
		idleCount int
	}

	// Silence describes a connection on which a call got no answer.
	Silence struct {
		Address string
		// Opened and LastHeard are when the connection was opened, and when bytes were last received.
		Opened, LastHeard time.Time
		// Dropped is the number of idle connections to the address that were closed with it.
		Dropped int
	}

	// DialError reports that no connection could be made, so that nothing was sent.
	DialError struct {
		Address string
		Cause   error
	}
)

var _ error = &DialError{}

// Fields returns what is logged of the connection at now.
func (s Silence) Fields(now time.Time) []logger.Field {
	return []logger.Field{
		logger.F("address", s.Address), logger.F("age", now.Sub(s.Opened).Round(time.Millisecond)),
		logger.F("silent", now.Sub(s.LastHeard).Round(time.Millisecond)), logger.F("dropped", s.Dropped),
	}
}

// Error returns why no connection could be made.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Cause }

// New returns a pool that dials TCP.
func New() *Pool {
	return &Pool{Dial: dialTCP, open: make(map[*connection]struct{}), idle: make(map[string][]*connection)}
}

// Close closes all connections, including those in use.
func (p *Pool) Close() error {
	p.mu.Lock()
	open := p.open
	p.open = nil
	p.idle, p.idleCount = nil, 0
	p.mu.Unlock()
	var errs []error
	for c := range open {
		errs = append(errs, c.close())
	}
	return errors.Join(errs...)
}

// Conn returns a connection to address. Each call and stream takes one that is free, or dials;
// a call that could not dial fails with a DialError. To close it prevents further calls only.
func (p *Pool) Conn(_ context.Context, address string) drpc.Conn {
	return &handle{pool: p, address: address, done: make(chan struct{})}
}

// acquire returns a connection for one call or stream.
func (p *Pool) acquire(ctx context.Context, address string) (*connection, error) {
	if c := p.takeIdle(time.Now(), address); c != nil {
		return c, nil
	}
	raw, err := p.Dial(ctx, address)
	if err != nil {
		return nil, &DialError{Address: address, Cause: err}
	}
	c := newConnection(raw, address, p.Options)
	p.mu.Lock()
	closed := p.open == nil
	if !closed {
		p.open[c] = struct{}{}
	}
	p.mu.Unlock()
	if closed {
		return nil, errors.Join(&DialError{Address: address, Cause: net.ErrClosed}, c.close())
	}
	return c, nil
}

// takeIdle returns the last used connection to address that can be reused, or nil.
func (p *Pool) takeIdle(now time.Time, address string) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, c := range slices.Backward(p.idle[address]) {
		if !c.free() || !c.reusable(now) {
			continue
		}
		p.removeIdle(address, i)
		c.expiry.Stop()
		return c
	}
	return nil
}

// removeIdle removes the i-th idle connection to address. The caller holds p.mu.
func (p *Pool) removeIdle(address string, i int) {
	p.idle[address] = slices.Delete(p.idle[address], i, i+1)
	p.idleCount--
	if len(p.idle[address]) == 0 {
		delete(p.idle, address)
	}
}

// release keeps c for reuse after a call or stream that began at a time and ended with err, or
// closes it.
func (p *Pool) release(ctx context.Context, c *connection, began time.Time, err error) {
	now := time.Now()
	if c.wasSilent(ctx, began, err) {
		p.giveUp(now, c, began)
		return
	}
	if !p.keep(now, c) {
		p.discard(c)
	}
}

// keep makes c idle and reports whether it can be reused.
func (p *Pool) keep(now time.Time, c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil || !c.reusable(now) || p.idleCount >= idleCapacity || len(p.idle[c.address]) >= idlePerAddress {
		return false
	}
	p.idle[c.address] = append(p.idle[c.address], c)
	p.idleCount++
	c.expiry = time.AfterFunc(proofOfLife-now.Sub(c.lastHeard()), func() { p.expire(c) })
	return true
}

// expire closes c if it is idle and its time is over.
func (p *Pool) expire(c *connection) {
	if p.removeExpired(time.Now(), c) {
		p.discard(c)
	}
}

// removeExpired removes c from the idle connections if its time is over. If bytes were received
// meanwhile, such as the end of an answer, c stays for the time that is left.
func (p *Pool) removeExpired(now time.Time, c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.idle[c.address], c)
	if i < 0 {
		return false
	}
	if c.reusable(now) {
		c.expiry.Reset(proofOfLife - now.Sub(c.lastHeard()))
		return false
	}
	p.removeIdle(c.address, i)
	return true
}

// giveUp closes c, which was silent since a time, and the idle connections to its address on which
// nothing was received since then.
func (p *Pool) giveUp(now time.Time, c *connection, since time.Time) {
	p.mu.Lock()
	var silent []*connection
	for i, other := range slices.Backward(p.idle[c.address]) {
		if other.lastHeard().After(since) {
			continue
		}
		p.removeIdle(c.address, i)
		other.expiry.Stop()
		silent = append(silent, other)
	}
	p.mu.Unlock()
	p.discard(c)
	for _, other := range silent {
		p.discard(other)
	}
	if p.Silenced != nil {
		p.Silenced(now, Silence{Address: c.address, Opened: c.opened, LastHeard: c.lastHeard(), Dropped: len(silent)})
	}
}

// discard closes a connection that is in use by nobody. The error says nothing of any call.
func (p *Pool) discard(c *connection) {
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	_ = c.close()
}

// dialTCP is Dial as Pool.Dial has it.
func dialTCP(ctx context.Context, address string) (drpc.Transport, error) {
	conn, err := Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return conn, nil
}
