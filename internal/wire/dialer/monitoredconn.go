package dialer

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

type (
	// MonitoredConn is a connection to another host that tells when bytes were last received, with a
	// timeout for each write.
	MonitoredConn struct {
		WriteTimeoutConn

		received receiveClock
	}

	// receiveClock tells when bytes were last received on a connection.
	receiveClock struct {
		openedAt time.Time
		// last is the time from openedAt until then, in nanoseconds; 0 if none were received.
		last atomic.Int64
	}

	// MonitoredListener accepts connections of other hosts as MonitoredConns.
	MonitoredListener struct {
		net.Listener

		// Timeout bounds one write.
		Timeout time.Duration
	}
)

var (
	_ net.Conn     = &MonitoredConn{}
	_ net.Listener = &MonitoredListener{}
)

// Dial opens a TCP connection to a host, within DialTimeout and with WriteTimeout for each write.
func Dial(ctx context.Context, address string) (*MonitoredConn, error) {
	d := net.Dialer{Timeout: DialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return Monitor(conn, WriteTimeout), nil
}

// Monitor returns conn as a MonitoredConn with a timeout for each write.
func Monitor(conn net.Conn, timeout time.Duration) *MonitoredConn {
	return &MonitoredConn{WriteTimeoutConn: WriteTimeoutConn{Conn: conn, Timeout: timeout}, received: receiveClock{openedAt: time.Now()}}
}

// LastRead returns when bytes were last received; the zero time if none were.
func (c *MonitoredConn) LastRead() time.Time {
	if c.received.last.Load() == 0 {
		return time.Time{}
	}
	return c.received.lastHeard()
}

// Read reads into p.
func (c *MonitoredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received.record(time.Now())
	}
	return n, err
}

// Accept returns the next connection.
func (l *MonitoredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return Monitor(conn, l.Timeout), nil
}

// record records that bytes were received at now.
func (r *receiveClock) record(now time.Time) { r.last.Store(int64(max(now.Sub(r.openedAt), 1))) }

// lastHeard returns when bytes were last received, or when the connection was opened.
func (r *receiveClock) lastHeard() time.Time { return r.openedAt.Add(time.Duration(r.last.Load())) }
