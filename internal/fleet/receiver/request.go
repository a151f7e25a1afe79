package receiver

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
)

type (
	// Field is one header field as it was sent.
	Field struct {
		Name  string
		Value string
	}

	// Request is one complete client request.
	Request struct {
		Method string
		// Target is the request target as sent; Path is its part before a query.
		Target string
		Path   string
		// Host is the value of the Host field without its port, in lower case.
		Host   string
		Fields []Field
		// Body is the whole body, without the framing of chunks.
		Body []byte
		// Arrived is when the first byte was read.
		Arrived time.Time

		// close is set if the client wants the connection closed after the response.
		close bool
		// noChunks is set if the client can't read a response in chunks.
		noChunks bool
		chunked  bool
		// length is the length of the body in bytes; -1 without a Content-Length field.
		length int64
		// expectsContinue is set if the client waits for a 100 response before it sends the body.
		expectsContinue bool
	}

	// requestError says why a request is refused, and with which status.
	requestError struct {
		status int
		reason string
	}
)

var _ error = &requestError{}

// errHeaderTooLarge is returned for a header beyond the limit.
var errHeaderTooLarge = &requestError{http.StatusRequestHeaderFieldsTooLarge, "header is too large"}

// Error returns the reason.
func (e *requestError) Error() string { return e.reason }

// Get returns the first value of a header field, or "". The name is not case-sensitive.
func (r *Request) Get(name string) string {
	for _, f := range r.Fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// readHeader reads and checks the request line and header of one request, of at most limit
// bytes together.
func readHeader(br *bufio.Reader, limit int) (*Request, error) {
	var block []byte
	for {
		line, err := br.ReadSlice('\n')
		if len(block)+len(line) > limit {
			return nil, errHeaderTooLarge
		}
		block = append(block, line...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if bytes.HasSuffix(block, []byte("\r\n\r\n")) {
			break
		}
		if !bytes.HasSuffix(block, []byte("\r\n")) {
			return nil, badRequest("line does not end with CR LF")
		}
		if len(block) == 2 {
			return nil, badRequest("empty request line")
		}
	}
	lines := strings.Split(strings.TrimSuffix(string(block), "\r\n\r\n"), "\r\n")
	r, err := parseRequestLine(lines[0])
	if err != nil {
		return nil, err
	}
	for _, line := range lines[1:] {
		if err := r.addField(line); err != nil {
			return nil, err
		}
	}
	return r, r.checkFraming()
}

func parseRequestLine(line string) (*Request, error) {
	parts := strings.Split(line, " ")
	// A method is a token, as a name is.
	if len(parts) != 3 || !httpguts.ValidHeaderFieldName(parts[0]) || !isPrintable(parts[1]) {
		return nil, badRequest("request line is malformed")
	}
	if !strings.HasPrefix(parts[1], "/") {
		return nil, badRequest("request target is no path")
	}
	r := &Request{Method: parts[0], Target: parts[1], length: -1}
	r.Path, _, _ = strings.Cut(parts[1], "?")
	switch parts[2] {
	case "HTTP/1.1":
	case "HTTP/1.0":
		r.close, r.noChunks = true, true
	default:
		return nil, &requestError{http.StatusHTTPVersionNotSupported, "protocol version is not HTTP/1.1"}
	}
	return r, nil
}

func (r *Request) addField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !httpguts.ValidHeaderFieldName(name) {
		return badRequest("header field is malformed")
	}
	value = strings.Trim(value, " \t")
	if !httpguts.ValidHeaderFieldValue(value) {
		return badRequest("header field holds a control character")
	}
	r.Fields = append(r.Fields, Field{Name: name, Value: value})
	return nil
}

// checkFraming evaluates the fields for the host, the connection and the body's framing. It
// refuses ambiguous framing.
func (r *Request) checkFraming() error {
	hosts, lengths, encodings := 0, 0, 0
	for _, f := range r.Fields {
		switch strings.ToLower(f.Name) {
		case "host":
			hosts++
			r.Host = hostName(f.Value)
		case "content-length":
			lengths++
			n, err := strconv.ParseUint(f.Value, 10, 62)
			if err != nil {
				return badRequest("length of the body is malformed")
			}
			r.length = int64(n)
		case "transfer-encoding":
			encodings++
			if !strings.EqualFold(f.Value, "chunked") {
				return &requestError{http.StatusNotImplemented, "transfer encoding is unknown"}
			}
			r.chunked = true
		case "connection":
			r.close = r.close || strings.Contains(strings.ToLower(f.Value), "close")
		case "expect":
			r.expectsContinue = strings.EqualFold(f.Value, "100-continue")
		}
	}
	switch {
	case hosts != 1:
		return badRequest("request does not name one host")
	case lengths > 1 || encodings > 1 || lengths+encodings > 1:
		return badRequest("framing of the body is ambiguous")
	}
	return nil
}

// readBody reads the whole body. It refuses one of more than limit bytes, and one for
// which there is no memory.
func (r *Request) readBody(br *bufio.Reader, limit int64, memory *bodyMemory) error {
	if r.length > limit {
		return &requestError{http.StatusRequestEntityTooLarge, "body is too large"}
	}
	if r.chunked {
		body, err := io.ReadAll(&meteredReader{r: io.LimitReader(httputil.NewChunkedReader(br), limit+1), memory: memory})
		if err != nil {
			return bodyError(err)
		}
		if int64(len(body)) > limit {
			return &requestError{http.StatusRequestEntityTooLarge, "body is too large"}
		}
		r.Body = body
		return skipTrailer(br)
	}
	if r.length <= 0 {
		return nil
	}
	if r.length > freeBodyBytes {
		return r.readLargeBody(br, memory)
	}
	r.Body = make([]byte, r.length)
	_, err := io.ReadFull(br, r.Body)
	return err
}

// readLargeBody reads a body of a known length. It takes memory only for what arrives.
func (r *Request) readLargeBody(br *bufio.Reader, memory *bodyMemory) error {
	body, err := io.ReadAll(&meteredReader{r: io.LimitReader(br, r.length), memory: memory})
	if err != nil {
		return err
	}
	if int64(len(body)) < r.length {
		return io.ErrUnexpectedEOF
	}
	r.Body = body
	return nil
}

// bodyError turns the error of a malformed chunk into a requestError and returns any other
// error, such as that of a failed connection, unchanged.
func bodyError(err error) error {
	if strings.Contains(err.Error(), "chunk") || strings.Contains(err.Error(), "line") {
		return badRequest("chunk of the body is malformed")
	}
	return err
}

// skipTrailer reads the trailer, which follows the last chunk.
func skipTrailer(br *bufio.Reader) error {
	for range maxTrailerLines {
		line, err := br.ReadSlice('\n')
		if err != nil {
			return err
		}
		if string(line) == "\r\n" {
			return nil
		}
	}
	return badRequest("trailer is too long")
}

// maxTrailerLines bounds the lines of a trailer, including the empty one that ends it.
const maxTrailerLines = 32

func badRequest(reason string) error {
	return &requestError{http.StatusBadRequest, reason}
}

// hostName returns a Host field's value without its port, in lower case.
func hostName(value string) string {
	if i := strings.LastIndexByte(value, ':'); i >= 0 && !strings.Contains(value[i:], "]") {
		value = value[:i]
	}
	return strings.ToLower(value)
}

// isPrintable reports whether s consists of visible ASCII characters and is not empty.
func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != ""
}
