// Package sender sends requests to backend servers over HTTP/1.1. It tells for each
// failure whether the request can have reached the backend server, never repeats one by
// itself, and gives a connection to another request only after a whole answer with
// nothing behind it. The library's transport repeats some requests on its own.
package sender

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

type (
	// Pool keeps idle connections to backend servers. Its fields are set before first use.
	Pool struct {
		// IdleFor bounds how long an idle connection is kept.
		IdleFor time.Duration

		mu   sync.Mutex
		idle map[string][]*Conn
	}

	// Conn is a connection to a backend server. One request uses it at a time.
	Conn struct {
		net.Conn
		address string
		br      *bufio.Reader
		// reused is set when an earlier request used it.
		reused bool
		// last is when it was used last, until when the backend server may close it.
		last, until time.Time
		// idleLimit is how long the backend server keeps it idle; 0 if it did not say.
		idleLimit time.Duration
	}
)

const (
	dialTimeout = 500 * time.Millisecond
	readBuffer  = 4096
	// idlePerAddress bounds the idle connections to one backend server.
	idlePerAddress = 8
	// userTimeout bounds how long sent bytes may stay unacknowledged by the peer's host.
	userTimeout = 2500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval find a peer's host that went silent.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idleMargin is how long before the backend server's own limit an idle connection
	// is given up, so that no request crosses its end.
	idleMargin = 700 * time.Millisecond
)

// Dial opens a TCP connection that notices when its peer's host has gone silent.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: limitSilence,
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// Get returns an idle connection to address, or else a new one. Where fresh is set, an
// idle one is taken only if it was used within that time.
func (p *Pool) Get(ctx context.Context, now time.Time, address string, fresh time.Duration) (*Conn, error) {
	for c := p.take(address); c != nil; c = p.take(address) {
		if now.Before(c.until) && (fresh == 0 || now.Sub(c.last) < fresh) && c.quiet() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	raw, err := Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: raw, address: address, br: bufio.NewReaderSize(raw, readBuffer)}, nil
}

// Put keeps a connection for a later request.
func (p *Pool) Put(now time.Time, c *Conn) {
	_ = c.SetDeadline(time.Time{})
	keep := p.IdleFor
	if c.idleLimit > 0 {
		keep = min(keep, c.idleLimit-idleMargin)
	}
	c.last, c.until = now, now.Add(keep)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*Conn)
	}
	if len(p.idle[c.address]) >= idlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Expire closes connections that were idle for too long.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// take returns the connection to address that was used last; nil if none is idle.
func (p *Pool) take(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// quiet tells whether the idle connection is open and holds no bytes, which would
// belong to no request.
func (c *Conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// limitSilence has the kernel give up a connection whose peer's host acknowledges nothing.
func limitSilence(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failure
}
