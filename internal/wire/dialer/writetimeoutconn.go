package dialer

import (
	"net"
	"time"
)

// WriteTimeoutConn is a connection with a timeout for each write. Without one, a write to a peer
// whose host is unreachable would block for minutes.
type WriteTimeoutConn struct {
	net.Conn

	// Timeout bounds one write.
	Timeout time.Duration
}

var _ net.Conn = WriteTimeoutConn{}

// Write writes p, or fails after the timeout.
func (c WriteTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.Timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
