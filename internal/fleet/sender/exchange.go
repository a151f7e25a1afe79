package sender

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

type (
	// Field is one header field.
	Field struct {
		Name  string
		Value string
	}

	// Request is what is sent to a backend server.
	Request struct {
		Method string
		Target string
		Host   string
		Fields []Field
		Body   []byte
		// Echo names the field by which an answer shows which request it answers;
		// ID is its value. An answer with another value is dropped.
		Echo string
		ID   string
	}

	// Response is a backend server's answer. Its body is read from Body until io.EOF;
	// Done or Break ends it.
	Response struct {
		Status int
		Header http.Header
		Body   io.Reader

		pool     *Pool
		conn     *Conn
		reusable bool
		release  func() bool
		// written is closed once the request's body is sent; sent tells whether all of it was.
		written chan struct{}
		sent    atomic.Bool
	}

	// UnsentError tells that no byte of the request can have reached the backend server.
	UnsentError struct {
		Cause error
	}

	// LostError tells that the backend server may have run the request.
	LostError struct {
		Cause error
		// Reused is set when the connection had served an earlier request.
		Reused bool
	}
)

var (
	_ error = &UnsentError{}
	_ error = &LostError{}

	errForeign = errors.New("answers belong to other requests")
)

const (
	// maxForeign bounds the answers to other requests that are skipped.
	maxForeign = 3
	// inlineBody is the size up to which a body is sent before the answer is awaited.
	inlineBody = 8 << 10
)

// Error tells the cause.
func (e *UnsentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// Error tells the cause.
func (e *LostError) Error() string { return "no whole answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Send sends a request on c and returns the head of its answer. When ctx ends the
// connection is closed, which tells the backend server to stop.
func (p *Pool) Send(ctx context.Context, c *Conn, r Request) (*Response, error) {
	release := context.AfterFunc(ctx, func() { _ = c.Close() })
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	a := &Response{pool: p, conn: c, release: release, written: make(chan struct{})}
	if err := a.write(r); err != nil {
		a.Break()
		return nil, err
	}
	if err := a.readHead(r); err != nil {
		a.Break()
		return nil, &LostError{Cause: err, Reused: c.reused}
	}
	return a, nil
}

// Done gives the connection back if the answer was read whole.
func (a *Response) Done() {
	select {
	case <-a.written:
	default:
		a.reusable = false
	}
	if !a.release() || !a.reusable || !a.sent.Load() || a.conn.br.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.pool.Put(time.Now(), a.conn)
}

// Break closes the connection.
func (a *Response) Break() {
	a.release()
	_ = a.conn.Close()
}

// write sends the request; a long body is sent while the answer is awaited, as a
// backend server may answer before it has read all of it.
func (a *Response) write(r Request) error {
	head := make([]byte, 0, 1024+inlineBody)
	head = fmt.Appendf(head, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for _, f := range r.Fields {
		head = append(head, f.Name+": "+f.Value+"\r\n"...)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		head = append(head, "Content-Length: "...)
		head = strconv.AppendInt(head, int64(len(r.Body)), 10)
		head = append(head, "\r\n"...)
	}
	head = append(head, "\r\n"...)
	rest := r.Body
	if len(rest) <= inlineBody {
		head, rest = append(head, rest...), nil
	}
	n, err := a.conn.Write(head)
	if err != nil && n == 0 {
		return &UnsentError{Cause: err}
	}
	if err != nil {
		return &LostError{Cause: err, Reused: a.conn.reused}
	}
	if len(rest) == 0 {
		a.sent.Store(true)
		close(a.written)
		return nil
	}
	go func() {
		defer close(a.written)
		_, err := a.conn.Write(rest)
		a.sent.Store(err == nil)
	}()
	return nil
}

// readHead reads heads until one answers the request.
func (a *Response) readHead(r Request) error {
	foreign := 0
	for {
		resp, err := http.ReadResponse(a.conn.br, &http.Request{Method: r.Method}) //nolint:bodyclose,nolintlint // Done and Break close the connection.
		if err != nil {
			return err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		if echoed := resp.Header.Get(r.Echo); r.Echo != "" && echoed != "" && echoed != r.ID {
			foreign++
			if foreign > maxForeign {
				return errForeign
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return err
			}
			continue
		}
		a.Status, a.Header, a.Body = resp.StatusCode, resp.Header, resp.Body
		framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		a.conn.idleLimit = idleLimit(resp.Header)
		a.reusable = framed && !resp.Close && foreign == 0 && !closes(resp.Header)
		return nil
	}
}

// closes tells whether the backend server is about to close the connection.
func closes(h http.Header) bool {
	return strings.Contains(strings.ToLower(h.Get("Connection")), "close")
}

// idleLimit returns how long the backend server says that it keeps an idle connection;
// 0 if it does not say.
func idleLimit(h http.Header) time.Duration {
	_, timeout, ok := strings.Cut(h.Get("Keep-Alive"), "timeout=")
	if !ok {
		return 0
	}
	timeout, _, _ = strings.Cut(timeout, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(timeout))
	if err != nil || seconds <= 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
