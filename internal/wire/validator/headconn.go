package validator

import (
	"bytes"
	"sync"
)

// headConn is a connection whose reads fail once the head of an awaited response is malformed.
type headConn struct {
	Conn

	mu sync.Mutex
	// awaited is set from the request until the head of its response was read; head holds what was read of it.
	awaited bool
	head    []byte
}

// informational is how the status of a response that precedes the response to a request begins.
const informational = '1'

// awaitHead has the next bytes be the head of a response.
func (c *headConn) awaitHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaited, c.head = true, nil
}

// Read reads into p.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// check checks the head that is awaited, once the bytes that were read next complete it, and those that follow
// if it is that of an informational response.
func (c *headConn) check(read []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.awaited {
		return nil
	}
	c.head = append(c.head, read...)
	for {
		n := headLength(c.head)
		if n == 0 {
			return nil
		}
		if err := CheckHead(c.head[:n]); err != nil {
			return err
		}
		if !isInformational(c.head[:n]) {
			c.awaited, c.head = false, nil
			return nil
		}
		c.head = c.head[n:]
	}
}

// headLength returns the length of the head that b begins with, with its empty line; 0 if b does not hold all of it.
func headLength(b []byte) int {
	for rest := b; bytes.IndexByte(rest, lineEnd[0]) >= 0; {
		var line []byte
		line, rest = cutLine(rest)
		if len(line) == 0 {
			return len(b) - len(rest)
		}
	}
	return 0
}

// isInformational reports whether a head is that of an informational (1xx) response.
func isInformational(head []byte) bool {
	_, status, _ := bytes.Cut(head, blank)
	return len(status) > 0 && status[0] == informational
}
