package dialer

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

type (
	// connection is an open connection of a pool, for one call or stream at a time.
	connection struct {
		conn    *drpcconn.Conn
		address string
		opened  time.Time
		heard   *hearing
		// expiry closes the connection while it is idle. Pool.mu guards it.
		expiry *time.Timer
	}

	// hearing is a transport that records when bytes were last received.
	hearing struct {
		drpc.Transport

		received receiveClock
	}

	// handle makes calls over connections of a pool.
	handle struct {
		pool    *Pool
		address string
		once    sync.Once
		done    chan struct{}
	}
)

var (
	_ drpc.Transport = &hearing{}
	_ drpc.Conn      = &handle{}
)

var errHandleClosed = eris.New("connection closed")

func newConnection(raw drpc.Transport, address string, options drpcconn.Options) *connection {
	opened := time.Now()
	heard := &hearing{Transport: raw, received: receiveClock{openedAt: opened}}
	return &connection{conn: drpcconn.NewWithOptions(heard, options), address: address, opened: opened, heard: heard}
}

// Read reads, and records when.
func (h *hearing) Read(p []byte) (int, error) {
	n, err := h.Transport.Read(p)
	if n > 0 {
		h.received.record(time.Now())
	}
	return n, err
}

// lastHeard returns when bytes were last received, or when the connection was opened.
func (c *connection) lastHeard() time.Time {
	return c.heard.received.lastHeard()
}

// reusable reports whether the connection is open and its proof of life is fresh.
func (c *connection) reusable(now time.Time) bool {
	return now.Sub(c.lastHeard()) < proofOfLife && !isClosed(c.conn.Closed())
}

// free reports whether the last call or stream has ended altogether.
func (c *connection) free() bool { return isClosed(c.conn.Unblocked()) }

// wasSilent reports whether a call or stream that began at a time got no answer in its time. One
// that its caller canceled says nothing.
func (c *connection) wasSilent(ctx context.Context, began time.Time, err error) bool {
	if c.lastHeard().After(began) {
		return false
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return true
	}
	cause := context.Cause(ctx)
	return cause != nil && !errors.Is(cause, context.Canceled)
}

func (c *connection) close() error { return c.conn.Close() }

// Close prevents further calls. Streams that are open go on.
func (h *handle) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Closed returns a channel that is closed with the first call of Close.
func (h *handle) Closed() <-chan struct{} { return h.done }

// Invoke makes a call.
func (h *handle) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	if isClosed(h.done) {
		return errHandleClosed
	}
	c, err := h.pool.acquire(ctx, h.address)
	if err != nil {
		return err
	}
	began := time.Now()
	err = c.conn.Invoke(ctx, rpc, enc, in, out)
	h.pool.release(ctx, c, began, err)
	return err
}

// NewStream opens a stream. Its connection is free again once the stream has ended.
func (h *handle) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	if isClosed(h.done) {
		return nil, errHandleClosed
	}
	c, err := h.pool.acquire(ctx, h.address)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	stream, err := c.conn.NewStream(ctx, rpc, enc)
	if err != nil {
		h.pool.release(ctx, c, began, err)
		return nil, err
	}
	go func() {
		<-stream.Context().Done()
		h.pool.release(ctx, c, began, nil)
	}()
	return stream, nil
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}
