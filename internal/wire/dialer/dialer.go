// Package dialer opens and keeps connections to the system's other processes.
package dialer

import (
	"context"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	dialTimeout  = 500 * time.Millisecond
	idleExpiry   = 90 * time.Second
	idleCapacity = 4096
	idlePerPeer  = 64
)

type (
	// Pool keeps idle connections by address. Each stream has a connection of its
	// own while it runs. Set its fields before first use.
	Pool struct {
		// Dial opens a transport; nil dials TCP.
		Dial func(ctx context.Context, address string) (drpc.Transport, error)

		pool *drpcpool.Pool[string, drpcpool.Conn]
	}
)

// New returns a pool that dials TCP.
func New() *Pool {
	options := drpcpool.Options{Expiration: idleExpiry, Capacity: idleCapacity, KeyCapacity: idlePerPeer}
	return &Pool{Dial: dialTCP, pool: drpcpool.New[string, drpcpool.Conn](options)}
}

// Close closes all idle connections.
func (p *Pool) Close() error {
	return p.pool.Close()
}

// Conn returns a connection to address for one stream at a time. It is dialed
// when it is first used; close it after use to give it back.
func (p *Pool) Conn(ctx context.Context, address string) drpc.Conn {
	return p.pool.Get(ctx, address, func(ctx context.Context, _ string) (drpcpool.Conn, error) {
		transport, err := p.Dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return drpcconn.New(transport), nil
	})
}

func dialTCP(ctx context.Context, address string) (drpc.Transport, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}
