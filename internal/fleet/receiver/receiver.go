// Package receiver accepts clients' requests over HTTP/1.1. It refuses ambiguous framing,
// cancels the handler's context when the client leaves, and never lets an incomplete
// response look complete. The standard library's server is not used, as it does not tell
// the handler how a body was framed.
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
	// Limits bounds what a client may send and how long it may take.
	Limits struct {
		// HeaderBytes includes the request line.
		HeaderBytes int
		BodyBytes   int64
		// HeaderTimeout is counted from the first byte of a request.
		HeaderTimeout time.Duration
		// IdleTimeout bounds the wait for the first byte of a request.
		IdleTimeout time.Duration
	}

	// Receiver serves one listener. Its exported fields are set before Run.
	Receiver struct {
		// Handle answers one request through w. ctx ends when the client leaves, unless it has
		// already sent bytes of a further request, and with the cause ErrEnding after EndRequests.
		Handle func(ctx context.Context, w *Writer, r *Request)
		// Limits returns the limits in force.
		Limits func() Limits
		// Deadline returns when a request whose header was read must have an answer; zero if that is not
		// known. A body that has not arrived by then is refused. It may be nil.
		Deadline func(r *Request) time.Time
		// LargeBytes bounds what arrives of all bodies together, without the first freeBodyBytes of
		// each; 0 means defaultLargeBytes. It counts as at least Limits.BodyBytes.
		LargeBytes int64
		// OnRefused is called for each request that is refused before Handle; it may be nil. r is nil if
		// its header was not read.
		OnRefused func(r *Request, status int, reason string)

		// closing is set once connections are to be closed after their next response.
		closing atomic.Bool
		mu      sync.Mutex
		// conns holds the open connections, wg counts them.
		conns map[*conn]struct{}
		wg    sync.WaitGroup
		// base is the context of all requests, end ends it; makeBase creates them.
		base     context.Context //nolint:containedctx // It is the parent of contexts made later.
		end      context.CancelCauseFunc
		makeBase sync.Once
		// bodies counts the bytes beyond freeBodyBytes of the bodies of all requests.
		bodies atomic.Int64
	}

	// conn is a client's connection.
	conn struct {
		net.Conn
		br *bufio.Reader
		// idle is set while no request is being read or answered; guarded by Receiver.mu.
		idle bool
	}
)

// ErrEnding is the cause for which a request's context ends because the process is about to end.
var ErrEnding = errors.New("host ends")

const (
	// closeWait is how long an idle connection that is about to be closed still waits for a request.
	closeWait = 20 * time.Millisecond
	// writeTimeout bounds a write to a client that does not read.
	writeTimeout = 10 * time.Second
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 10 * time.Second
	// drainTimeout bounds how long further bytes are read after a request was refused. Closing
	// the connection with unread bytes would send a reset, which can destroy the response.
	drainTimeout    = 500 * time.Millisecond
	readBufferBytes = 4096
	// defaultLargeBytes is used for a LargeBytes of 0.
	defaultLargeBytes = 16 << 20
	// retryAfterBusy is the time in seconds after which a client may send a body again for which
	// there was no memory.
	retryAfterBusy = "1"
	// acceptRetryDelay is the delay after a failed accept, for example with too many open
	// files.
	acceptRetryDelay = 20 * time.Millisecond
)

// aLongTimeAgo is a deadline that makes a blocked read return.
var aLongTimeAgo = time.Unix(1, 0)

// Run accepts connections until the listener is closed. It does not wait for their end.
func (s *Receiver) Run(l net.Listener) {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &conn{Conn: raw, br: bufio.NewReaderSize(raw, readBufferBytes), idle: true}
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

// CloseAfterResponses has each connection closed after the next response whose request is
// not in Handle yet.
func (s *Receiver) CloseAfterResponses() {
	s.closing.Store(true)
}

// CloseIdle closes the connections without a request in progress. It makes their pending
// reads fail.
func (s *Receiver) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.idle {
			_ = c.SetReadDeadline(aLongTimeAgo)
		}
	}
}

// EndRequests ends the contexts of all requests in progress, and of later ones, with ErrEnding, so
// that they are answered before the process ends.
func (s *Receiver) EndRequests() {
	s.baseContext()
	s.end(ErrEnding)
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
	for s.serveRequest(c) {
		continue
	}
}

// serveRequest reads and answers one request. It reports whether the connection stays
// open.
func (s *Receiver) serveRequest(c *conn) bool {
	s.setIdle(c, true)
	limits := s.Limits()
	_ = c.SetReadDeadline(time.Now().Add(limits.IdleTimeout))
	if _, err := c.br.Peek(1); err != nil && !s.arrivedAtClose(c, err) {
		return false
	}
	s.setIdle(c, false)
	arrived := time.Now()
	_ = c.SetReadDeadline(arrived.Add(limits.HeaderTimeout))
	r, err := readHeader(c.br, limits.HeaderBytes)
	memory := s.newBodyMemory(limits)
	defer memory.release()
	if r != nil {
		r.Arrived = arrived
	}
	if err == nil {
		err = s.readBody(c, r, limits, memory)
	}
	if err != nil {
		s.refuse(c, r, err)
		return false
	}
	w := &Writer{conn: c, close: r.close || s.closing.Load(), noBody: r.Method == http.MethodHead, noChunks: r.noChunks}
	ctx, cancel := context.WithCancel(s.baseContext())
	stopped := s.watchClose(c, cancel)
	s.Handle(ctx, w, r)
	cancel()
	open := stopped()
	if w.noChunks && !w.complete {
		c.reset()
	}
	if !open {
		return false
	}
	return w.complete && !w.close && !w.failed
}

// arrivedAtClose reports whether a request has arrived on a connection whose wait for one was ended
// with err by CloseIdle: it may have come just before.
func (s *Receiver) arrivedAtClose(c *conn, err error) bool {
	if !s.closing.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(closeWait))
	_, err = c.br.Peek(1)
	return err == nil
}

// baseContext returns the parent of all requests' contexts.
func (s *Receiver) baseContext() context.Context {
	s.makeBase.Do(func() { s.base, s.end = context.WithCancelCause(context.Background()) })
	return s.base
}

// readBody invites the body if the client waits for that, and reads it within bodyTimeout, and by the time
// at which the request must have an answer.
func (s *Receiver) readBody(c *conn, r *Request, limits Limits, memory *bodyMemory) error {
	if r.length <= 0 && !r.chunked {
		return nil
	}
	if r.expectsContinue && r.length <= limits.BodyBytes {
		if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	_ = c.SetReadDeadline(s.bodyDeadline(time.Now(), r))
	return r.readBody(c.br, limits.BodyBytes, memory)
}

// bodyDeadline returns until when the body of a request is awaited.
func (s *Receiver) bodyDeadline(now time.Time, r *Request) time.Time {
	deadline := now.Add(bodyTimeout)
	if s.Deadline == nil {
		return deadline
	}
	if d := s.Deadline(r); !d.IsZero() && d.Before(deadline) {
		return d
	}
	return deadline
}

// newBodyMemory returns the memory for the body of one request.
func (s *Receiver) newBodyMemory(limits Limits) *bodyMemory {
	total := s.LargeBytes
	if total == 0 {
		total = defaultLargeBytes
	}
	return &bodyMemory{all: &s.bodies, total: max(total, limits.BodyBytes), free: freeBodyBytes}
}

// reset has the close of the connection reset it, by which a response that ends with it can't look complete.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// refuse answers a request that is invalid, too large or too slow. It sends nothing if err is
// another one, such as that of a failed connection. r is nil if its header was not read.
func (s *Receiver) refuse(c *conn, r *Request, err error) {
	rejection := new(requestError)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		rejection = &requestError{http.StatusRequestTimeout, "request was not sent in time"}
	} else if !errors.As(err, &rejection) {
		return
	}
	if s.OnRefused != nil {
		s.OnRefused(r, rejection.status, rejection.reason)
	}
	w := &Writer{conn: c, close: true}
	var fields []Field
	if rejection.status == http.StatusServiceUnavailable {
		fields = []Field{{Name: "Retry-After", Value: retryAfterBusy}}
	}
	w.Reply(rejection.status, fields, []byte(rejection.reason+"\n"))
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(drainTimeout))
	_, _ = io.Copy(io.Discard, c.br)
}

// watchClose calls cancel when the client closes its connection. The returned function
// ends the watch and reports whether the connection is still open. The watch sees no close
// behind bytes of a further request.
func (s *Receiver) watchClose(c *conn, cancel context.CancelFunc) (stop func() bool) {
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
