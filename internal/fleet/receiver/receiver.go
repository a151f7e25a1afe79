// Package receiver takes clients' requests over HTTP/1.1. It refuses ambiguous framing,
// tells the handler when a client leaves, and never makes an answer look complete that
// is not. The library's server does not tell the handler how a body was framed.
package receiver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// Limits bound what a client may send and how long it may take.
	Limits struct {
		HeaderBytes   int
		BodyBytes     int64
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
	}

	// Receiver serves one listener. Its exported fields are set before Run.
	Receiver struct {
		// Handle answers one request through w; ctx ends when the client leaves.
		Handle func(ctx context.Context, w *Writer, r *Request)
		// Limits returns the limits in force.
		Limits func() Limits
		// Refused hears of each request that was not taken.
		Refused func(status int, reason string)

		// closing is set once connections are to be closed after their answer.
		closing atomic.Bool
		mu      sync.Mutex
		conns   map[*conn]struct{}
		wg      sync.WaitGroup
	}

	// conn is one client's connection.
	conn struct {
		net.Conn
		br *bufio.Reader
		// idle is set while no request is being read or answered; guarded by Receiver.mu.
		idle bool
	}
)

const (
	// writeTimeout bounds a write to a client that does not read.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 10 * time.Second
	// drainTimeout bounds how long unread bytes of a refused request are read, so that
	// the connection's end is not a reset that destroys the answer.
	drainTimeout = 500 * time.Millisecond
	readBuffer   = 4096
	// acceptPause is the wait after a failure to accept, such as too many open files.
	acceptPause = 20 * time.Millisecond
)

// aLongTimeAgo makes a blocked read return.
var aLongTimeAgo = time.Unix(1, 0)

// Run accepts connections until the listener is closed.
func (s *Receiver) Run(l net.Listener) {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		c := &conn{Conn: raw, br: bufio.NewReaderSize(raw, readBuffer), idle: true}
		s.mu.Lock()
		if s.conns == nil {
			s.conns = make(map[*conn]struct{})
		}
		s.conns[c] = struct{}{}
		s.wg.Add(1)
		s.mu.Unlock()
		go s.serve(c)
	}
}

// CloseAfterAnswers has each connection closed after its next answer.
func (s *Receiver) CloseAfterAnswers() {
	s.closing.Store(true)
}

// CloseIdle closes the connections on which nothing is being answered.
func (s *Receiver) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idle {
			_ = c.SetReadDeadline(aLongTimeAgo)
		}
	}
}

// Wait returns once all connections have ended.
func (s *Receiver) Wait() { s.wg.Wait() }

func (s *Receiver) serve(c *conn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		s.wg.Done()
	}()
	for s.serveOne(c) {
		continue
	}
}

// serveOne reads and answers one request; it tells whether the connection goes on.
func (s *Receiver) serveOne(c *conn) bool {
	s.setIdle(c, true)
	limits := s.Limits()
	_ = c.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	if _, err := c.br.Peek(1); err != nil {
		return false
	}
	s.setIdle(c, false)
	arrived := time.Now()
	_ = c.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	r, err := readHeader(c.br, limits.HeaderBytes)
	if err == nil {
		r.Arrived = arrived
		err = s.readBody(c, r, limits)
	}
	if err != nil {
		s.refuse(c, err)
		return false
	}
	w := &Writer{conn: c, close: r.close || s.closing.Load(), head: r.Method == http.MethodHead}
	ctx, cancel := context.WithCancel(context.Background())
	stopped := s.watch(c, cancel)
	s.Handle(ctx, w, r)
	cancel()
	if !stopped() {
		return false
	}
	return w.done && !w.close && !w.broken
}

func (s *Receiver) readBody(c *conn, r *Request, limits Limits) error {
	if r.length <= 0 && !r.chunked {
		return nil
	}
	if r.wantsHints && r.length <= limits.BodyBytes {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	return r.readBody(c.br, limits.BodyBytes)
}

// refuse answers a request that was not taken, if its sender still reads.
func (s *Receiver) refuse(c *conn, err error) {
	bad := new(malformedError)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		bad = &malformedError{http.StatusRequestTimeout, "request was not sent in time"}
	} else if !errors.As(err, &bad) {
		return
	}
	if s.Refused != nil {
		s.Refused(bad.status, bad.reason)
	}
	w := &Writer{conn: c, close: true}
	w.Reply(bad.status, nil, []byte(bad.reason+"\n"))
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.Copy(io.Discard, c.br)
}

// watch cancels when the client closes its connection. What it returns ends the watch
// and tells whether the connection is still open.
func (s *Receiver) watch(c *conn, cancel context.CancelFunc) (stop func() bool) {
	if c.br.Buffered() > 0 {
		return func() bool { return true }
	}
	_ = c.SetReadDeadline(time.Time{})
	ended := make(chan error, 1)
	go func() {
		_, err := c.br.Peek(1)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			cancel()
		}
		ended <- err
	}()
	return func() bool {
		_ = c.SetReadDeadline(aLongTimeAgo)
		err := <-ended
		return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
	}
}

func (s *Receiver) setIdle(c *conn, idle bool) {
	s.mu.Lock()
	c.idle = idle
	s.mu.Unlock()
}
