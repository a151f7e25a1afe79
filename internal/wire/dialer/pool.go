// Package dialer opens and pools connections to the system's other processes.
package dialer

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	dialTimeout    = 500 * time.Millisecond
	idleExpiry     = 90 * time.Second
	idleCapacity   = 4096
	idlePerAddress = 64
)

type (
	// Pool keeps idle connections by address. Each stream uses a connection of its
	// own. Set its exported fields before first use.
	Pool struct {
		// Dial opens a transport to an address; tests replace it.
		Dial func(ctx context.Context, address string) (drpc.Transport, error)

		pool *drpcpool.Pool[string, drpcpool.Conn]

		mu sync.Mutex
		// open holds the open transports; nil once the pool is closed.
		open map[*transport]struct{}
	}

	// transport is a connection that removes itself from its pool when closed.
	transport struct {
		drpc.Transport

		pool *Pool
	}
)

var _ drpc.Transport = &transport{}

// New returns a pool that dials TCP.
func New() *Pool {
	options := drpcpool.Options{Expiration: idleExpiry, Capacity: idleCapacity, KeyCapacity: idlePerAddress}
	return &Pool{
		Dial: dialTCP,
		pool: drpcpool.New[string, drpcpool.Conn](options),
		open: make(map[*transport]struct{}),
	}
}

// Close closes all connections, including those in use: one that is returned to
// the pool later would otherwise stay open.
func (p *Pool) Close() error {
	err := p.pool.Close()
	p.mu.Lock()
	open := p.open
	p.open = nil
	p.mu.Unlock()
	for t := range open {
		_ = t.Transport.Close()
	}
	return err
}

// Conn returns a connection to address for one stream at a time. It is dialed on
// first use.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return p.pool.Get(ctx, address, p.dial)
}

func (p *Pool) dial(ctx context.Context, address string) (drpcpool.Conn, error) {
	raw, err := p.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	t := &transport{Transport: raw, pool: p}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	p.open[t] = struct{}{}
	return drpcconn.New(t), nil
}

// Close closes the connection.
func (t *transport) Close() error {
	t.pool.mu.Lock()
	delete(t.pool.open, t)
	t.pool.mu.Unlock()
	return t.Transport.Close()
}

func dialTCP(ctx context.Context, address string) (drpc.Transport, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}
