// Package sender sends requests to backend servers over HTTP/1.1. For each failure it
// reports whether the request can have reached the backend server. It never retries a
// request, and reuses a connection only after a whole response with no bytes after it. The
// standard library's transport is not used, as it retries some requests on its own.
package sender

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"verbenareach/internal/wire/validator"
)

type (
	// Pool keeps idle connections to backend servers. Its fields are set before first use.
	Pool struct {
		// IdleTimeout bounds how long an idle connection is kept. With 0 none is reused.
		IdleTimeout time.Duration

		mu sync.Mutex
		// idle holds the idle connections by address, the one used last at the end.
		idle map[string][]*Conn
	}

	// Conn is a connection to a backend server. Only one request uses it at a time.
	Conn struct {
		*validator.Conn
		address string
		// br reads from limited, which bounds what one response header may take.
		br      *bufio.Reader
		limited *limitedReader
		// reused is set if an earlier request used the connection.
		reused bool
		// lastUsed is when the connection became idle. It is not reused from expiresAt on, as
		// the backend server may close it soon. Put sets both.
		lastUsed, expiresAt time.Time
		// serverIdleTimeout is how long the backend server keeps the connection idle; 0 if
		// unknown.
		serverIdleTimeout time.Duration
	}
)

const (
	dialTimeout     = 500 * time.Millisecond
	readBufferBytes = 4096
	// maxIdlePerAddress bounds the idle connections to one backend server.
	maxIdlePerAddress = 8
	// userTimeout bounds how long sent bytes may stay unacknowledged by the peer's kernel.
	userTimeout = 2500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount set the TCP probes that detect an
	// unreachable peer while no sent bytes are unacknowledged.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
	// idleMargin is how long before the backend server's own idle timeout a connection is no
	// longer used, so that no request is sent while the server closes it.
	idleMargin = 700 * time.Millisecond
)

func newConn(raw net.Conn, address string) *Conn {
	checked := &validator.Conn{Conn: raw}
	limited := &limitedReader{r: checked, left: unlimited}
	return &Conn{Conn: checked, address: address, limited: limited, br: bufio.NewReaderSize(limited, readBufferBytes)}
}

// Dial opens a TCP connection that fails, instead of blocking, when its peer becomes
// unreachable.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setUserTimeout,
	}
	return dialer.DialContext(ctx, "tcp", address)
}

// Open returns a new connection to address. No byte of a request was sent if Open fails.
func Open(ctx context.Context, address string) (*Conn, error) {
	raw, err := Dial(ctx, address)
	if err != nil {
		awaitEnd(ctx, time.Now())
		return nil, err
	}
	return newConn(raw, address), nil
}

// Get returns an idle connection to address, or else a new one. If maxIdle is not 0, an
// idle connection is used only if it has been idle for less than maxIdle. No byte of a
// request was sent if Get fails.
func (p *Pool) Get(ctx context.Context, now time.Time, address string, maxIdle time.Duration) (*Conn, error) {
	for c := p.take(address); c != nil; c = p.take(address) {
		if now.Before(c.expiresAt) && (maxIdle == 0 || now.Sub(c.lastUsed) < maxIdle) && c.usable() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	return Open(ctx, address)
}

// awaitEnd returns once ctx has ended if its deadline has passed: its timer may be a little late, and a
// failure before its end would look like one of the backend server.
func awaitEnd(ctx context.Context, now time.Time) {
	if deadline, ok := ctx.Deadline(); ok && !now.Before(deadline) {
		<-ctx.Done()
	}
}

// Prepare opens a connection to address for a request that will soon be sent there, unless one has
// been idle for less than maxIdle.
func (p *Pool) Prepare(ctx context.Context, now time.Time, address string, maxIdle time.Duration) error {
	p.mu.Lock()
	list := p.idle[address]
	ready := len(list) > 0 && now.Sub(list[len(list)-1].lastUsed) < maxIdle
	p.mu.Unlock()
	if ready {
		return nil
	}
	raw, err := Dial(ctx, address)
	if err != nil {
		return err
	}
	p.Put(now, newConn(raw, address))
	return nil
}

// Put keeps a connection for a later request, or closes it if maxIdlePerAddress are kept.
func (p *Pool) Put(now time.Time, c *Conn) {
	timeout := p.IdleTimeout
	if c.serverIdleTimeout > 0 {
		timeout = min(timeout, c.serverIdleTimeout-idleMargin)
	}
	c.lastUsed, c.expiresAt = now, now.Add(timeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*Conn)
	}
	if len(p.idle[c.address]) >= maxIdlePerAddress {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Expire closes connections that have been idle for too long. It must be called regularly.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expiresAt) {
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

// usable reports whether the idle connection is open and has no bytes to read, which would
// belong to no request.
func (c *Conn) usable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.Conn.(*net.TCPConn)
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

// setUserTimeout has the kernel close a connection whose peer does not acknowledge sent
// bytes for userTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
	})
	if err != nil {
		return err
	}
	return failure
}
