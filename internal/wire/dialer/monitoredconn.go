package dialer

import (
	"net"
	"sync/atomic"
	"time"
)

type (
	// MonitoredConn is a connection to another host that tells when bytes were last received, with a
	// timeout for each write.
	MonitoredConn struct {
		WriteTimeoutConn

		openedAt time.Time
		// lastRead is the time from openedAt until bytes were last received, in nanoseconds; 0 if
		// none were.
		lastRead atomic.Int64
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

// Monitor returns conn as a MonitoredConn with a timeout for each write.
func Monitor(conn net.Conn, timeout time.Duration) *MonitoredConn {
	return &MonitoredConn{WriteTimeoutConn: WriteTimeoutConn{Conn: conn, Timeout: timeout}, openedAt: time.Now()}
}

// LastRead returns when bytes were last received; the zero time if none were.
func (c *MonitoredConn) LastRead() time.Time {
	after := c.lastRead.Load()
	if after == 0 {
		return time.Time{}
	}
	return c.openedAt.Add(time.Duration(after))
}

// Read reads into p.
func (c *MonitoredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(int64(max(time.Since(c.openedAt), 1)))
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
