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

	"verbenareach/internal/wire/validator"
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
		// Echo names the header field in which a response repeats the id of its request; "" if
		// there is none. ID is that id, which Fields must hold as well. A response with another
		// id is skipped. One without the field is accepted on a new connection only: on others it
		// may be an earlier response that is sent once more.
		Echo string
		ID   string
	}

	// Response is a backend server's response. Done must be called once Body was read until
	// io.EOF, or else Abort, at any time.
	Response struct {
		Status int
		Header http.Header
		Body   io.Reader
		// Framed is set if a length or chunks tell the end of the body; otherwise it ends with the
		// connection.
		Framed bool
		// Address is where the request was sent.
		Address string

		pool *Pool
		conn *Conn
		// body is what Body reads from.
		body *bodyReader
		// reusable is set if the response allows another request on the connection after it.
		reusable bool
		// stopCloseOnDone prevents that conn is closed when the request's context ends. It
		// returns false if that has happened already.
		stopCloseOnDone func() bool
		// writeDone is closed once the writing of the request has ended, with or without an
		// error; bodySent is set if all of it was written.
		writeDone chan struct{}
		bodySent  atomic.Bool
	}

	// UnsentError reports that no byte of the request can have reached the backend server.
	UnsentError struct {
		Cause error
	}

	// LostError reports that no complete response was received although the backend server
	// may have run the request.
	LostError struct {
		Cause error
		// Reused is set when the connection had served an earlier request: the backend server
		// may have closed it before this one arrived.
		Reused bool
	}
)

var (
	_ error = &UnsentError{}
	_ error = &LostError{}

	errOtherResponses = errors.New("responses belong to other requests")
	errNoID           = errors.New("response names no request on a connection that served others")
	errInvalidStatus  = errors.New("response has an invalid status")
)

const (
	// maxOtherResponses bounds the responses with the id of another request that are skipped,
	// such as a second response to an earlier request on the connection.
	maxOtherResponses = 3
	// maxHeaderBytes and maxHeaderLines bound what is read until the header of the response is whole,
	// with informational responses: a line takes ten times its bytes. A header may have a few lines
	// more, as up to readBufferBytes are read at once. maxSkippedBytes bounds the body of a response
	// that is skipped.
	maxHeaderBytes  = 32 << 10
	maxHeaderLines  = 256
	maxSkippedBytes = 1 << 20
	// minStatus and maxStatus bound the valid statuses of HTTP.
	minStatus = 100
	maxStatus = 599
	// maxInlineBodyBytes is the largest body in bytes that is written together with the header,
	// before the response is read.
	maxInlineBodyBytes = 8 << 10
)

// Error returns the text of the cause, with a prefix.
func (e *UnsentError) Error() string { return "not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// Error returns the text of the cause, with a prefix.
func (e *LostError) Error() string { return "no whole response: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Send sends a request on c and returns its response once the header was read. When ctx
// ends the connection is closed, by which the backend server learns that it may stop
// working on the request. On an error, an *UnsentError or a *LostError, c is closed.
func (p *Pool) Send(ctx context.Context, c *Conn, r Request) (*Response, error) {
	// A deadline of the connection could come before ctx ends, and would then look like a loss.
	stopCloseOnDone := context.AfterFunc(ctx, func() { _ = c.Close() })
	resp := &Response{Address: c.address, pool: p, conn: c, stopCloseOnDone: stopCloseOnDone, writeDone: make(chan struct{})}
	if err := resp.writeRequest(r); err != nil {
		resp.Abort()
		return nil, err
	}
	if err := resp.readHeader(r); err != nil {
		resp.Abort()
		return nil, &LostError{Cause: err, Reused: c.reused}
	}
	return resp, nil
}

// Done returns the connection to the pool if it can be used again, and closes it otherwise, as
// it does if Body was not read until io.EOF: the rest would be taken for the next response.
func (resp *Response) Done() {
	select {
	case <-resp.writeDone:
	default:
		resp.reusable = false
	}
	if !resp.stopCloseOnDone() || !resp.reusable || !resp.body.ended || !resp.bodySent.Load() || resp.conn.br.Buffered() > 0 {
		_ = resp.conn.Close()
		return
	}
	resp.pool.Put(time.Now(), resp.conn)
}

// Abort closes the connection, also before the response was read.
func (resp *Response) Abort() {
	resp.stopCloseOnDone()
	_ = resp.conn.Close()
}

// writeRequest writes the request. A body longer than maxInlineBodyBytes is written while the
// response is awaited, as a backend server may respond before it has read all of it. An
// error of that write only prevents the reuse of the connection.
func (resp *Response) writeRequest(r Request) error {
	head := make([]byte, 0, 1024+maxInlineBodyBytes)
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
	if len(rest) <= maxInlineBodyBytes {
		head, rest = append(head, rest...), nil
	}
	n, err := resp.conn.Write(head)
	if err != nil && n == 0 {
		return &UnsentError{Cause: err}
	}
	if err != nil {
		return &LostError{Cause: err, Reused: resp.conn.reused}
	}
	if len(rest) == 0 {
		resp.bodySent.Store(true)
		close(resp.writeDone)
		return nil
	}
	go func() {
		defer close(resp.writeDone)
		_, err := resp.conn.Write(rest)
		resp.bodySent.Store(err == nil)
	}()
	return nil
}

// readHeader reads the header of the response to the request. It skips informational (1xx)
// responses and those to other requests.
func (resp *Response) readHeader(r Request) error {
	skipped := 0
	resp.conn.limited.allowHeader()
	defer func() { resp.conn.limited.left = unlimited }()
	for {
		next, err := resp.conn.readHead(r.Method) //nolint:bodyclose,nolintlint // Done and Abort close the connection.
		if err != nil {
			return err
		}
		if next.StatusCode < http.StatusOK {
			continue
		}
		echoed := next.Header.Get(r.Echo)
		if r.Echo != "" && echoed == "" && resp.conn.reused {
			return errNoID
		}
		if r.Echo != "" && echoed != "" && echoed != r.ID {
			skipped++
			if skipped > maxOtherResponses {
				return errOtherResponses
			}
			if err := resp.skipBody(next.Body); err != nil {
				return err
			}
			continue
		}
		resp.body = &bodyReader{Reader: next.Body}
		resp.Status, resp.Header, resp.Body = next.StatusCode, next.Header, resp.body
		resp.Framed = next.ContentLength >= 0 || len(next.TransferEncoding) > 0
		resp.conn.serverIdleTimeout = keepAliveTimeout(next.Header)
		resp.reusable = resp.Framed && !next.Close && skipped == 0 && !closesConnection(next.Header)
		return nil
	}
}

// readHead reads the head of the next response to a request with a method. It returns an error unless the
// head is in the protocol.
func (c *Conn) readHead(method string) (*http.Response, error) {
	buffered, err := c.br.Peek(c.br.Buffered())
	if err != nil {
		return nil, err
	}
	c.limited.head = validator.HeadChecker{}
	c.limited.head.Check(buffered)
	next, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if next.StatusCode < minStatus || next.StatusCode > maxStatus {
		return nil, errInvalidStatus
	}
	return next, c.limited.head.Err()
}

// skipBody reads the body of a response to another request, and then allows another header.
func (resp *Response) skipBody(body io.Reader) error {
	resp.conn.limited.left = unlimited
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxSkippedBytes))
	if err != nil {
		return err
	}
	if n == maxSkippedBytes {
		return errOtherResponses
	}
	resp.conn.limited.allowHeader()
	return nil
}

// closesConnection reports whether the Connection field announces that the backend server
// closes the connection after the response.
func closesConnection(h http.Header) bool {
	return strings.Contains(strings.ToLower(h.Get("Connection")), "close")
}

// keepAliveTimeout returns how long the backend server keeps an idle connection, by its
// Keep-Alive field; 0 if the field is missing or invalid.
func keepAliveTimeout(h http.Header) time.Duration {
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
