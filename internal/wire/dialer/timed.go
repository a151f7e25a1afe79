package dialer

import (
	"net"
	"time"
)

// TimedConn is a connection that bounds the time that a write may take: a peer whose host
// went silent would hold a write for minutes.
type TimedConn struct {
	net.Conn

	// Timeout bounds one write.
	Timeout time.Duration
}

var _ net.Conn = TimedConn{}

// Write writes within the timeout.
func (c TimedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.Timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
