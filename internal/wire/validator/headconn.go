package validator

import "sync"

// headConn is a connection whose reads fail once the head of an awaited response is malformed.
type headConn struct {
	Conn

	mu sync.Mutex
	// awaited is set from the request until the head of its response was read, which head checks.
	awaited bool
	head    HeadChecker
}

// awaitHead has the next bytes be the head of a response.
func (c *headConn) awaitHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaited, c.head = true, HeadChecker{}
}

// Read reads into p.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if malformed := c.check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// check checks what was read of the head that is awaited. An informational response comes before it.
func (c *headConn) check(read []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.awaited {
		read = c.head.Check(read)
		if err := c.head.Err(); err != nil {
			return err
		}
		if !c.head.Ended() {
			return nil
		}
		c.awaited = c.head.IsInformational()
		c.head = HeadChecker{}
	}
	return nil
}
