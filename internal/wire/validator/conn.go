// Package validator tells responses over HTTP/1.1 from what only looks like one: a head that is not in the
// protocol, and a connection that ends by a reset instead of by its peer.
package validator

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Conn is a connection whose end is io.EOF only if the peer ended it. A socket tells that it was reset, or that
// its peer is unreachable, to one call only; if that is a write, the next read finds a mere end.
type Conn struct {
	net.Conn

	// writing counts the writes in progress.
	writing atomic.Int32
}

const (
	// maxSettleTime bounds how long the end of a connection is held back while bytes are still on their way to
	// the peer: one that has closed the connection, instead of its own side, answers them by a reset. It is
	// below the time for which servers keep a connection after they have ended their side.
	maxSettleTime = 200 * time.Millisecond
	// settleInterval is the pause between two looks at the connection meanwhile.
	settleInterval = 2 * time.Millisecond
	// stateClosed is TCP_CLOSE, the state of a socket that was reset or given up.
	stateClosed = 7
)

var (
	_ net.Conn = &Conn{}

	errNoSocket = errors.New("connection is no socket")
	errReset    = errors.New("connection was reset or given up")
)

// Read reads into p. The error is io.EOF only if the peer ended the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.checkEnd()
	}
	return n, err
}

// Write writes p.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	return c.Conn.Write(p)
}

// checkEnd returns what the end of the connection is, io.EOF if the peer ended it. It waits until no bytes are
// on their way to the peer, maxSettleTime at most.
func (c *Conn) checkEnd() error {
	end := time.Now().Add(maxSettleTime)
	for {
		info, err := c.info()
		switch {
		case errors.Is(err, net.ErrClosed):
			return err
		case err != nil:
			// Nothing tells more.
			return io.EOF
		case info.State == stateClosed:
			return errReset
		case !c.isSending(info) || !time.Now().Before(end):
			return io.EOF
		}
		time.Sleep(settleInterval)
	}
}

// info returns what the kernel knows of the connection.
func (c *Conn) info() (info *unix.TCPInfo, err error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		info, failure = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil, err
	}
	return info, failure
}

// isSending reports whether bytes are on their way to the peer.
func (c *Conn) isSending(info *unix.TCPInfo) bool {
	return c.writing.Load() > 0 || info.Unacked > 0 || info.Notsent_bytes > 0
}
