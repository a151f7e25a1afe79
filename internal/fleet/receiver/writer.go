package receiver

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Writer sends one response, by Reply or by Begin, Write and Finish. If the response is not
// finished when the handler returns, the connection is closed, so that the response never
// looks complete.
type Writer struct {
	conn *conn
	// close is set if the connection is closed after this response.
	close bool
	// noBody is set if the request method is HEAD.
	noBody bool
	// noChunks is set if the client can't read chunks: what Begin starts ends with the connection then,
	// which is reset if it isn't finished.
	noChunks bool
	// started is set by Reply and Begin, complete once all of the response was sent, failed
	// once it can no longer become complete.
	started, complete, failed bool
	// buf holds the bytes that were not sent yet.
	buf []byte
}

// maxCopiedBytes is the largest body in bytes that is sent in one write with its header.
const maxCopiedBytes = 16 << 10

// Started reports whether Reply or Begin was called, also if no byte was sent yet.
func (w *Writer) Started() bool { return w.started }

// Reply sends a whole response.
func (w *Writer) Reply(status int, fields []Field, body []byte) {
	w.writeHeader(status, fields)
	w.buf = append(w.buf, "Content-Length: "...)
	w.buf = strconv.AppendInt(w.buf, int64(len(body)), 10)
	w.buf = append(w.buf, "\r\n\r\n"...)
	if !w.noBody && len(body) <= maxCopiedBytes {
		w.buf = append(w.buf, body...)
		body = nil
	}
	w.flush()
	if !w.noBody {
		w.send(body)
	}
	w.complete = !w.failed
}

// Begin starts a response of unknown length. The header is sent by the first Write or by
// Finish.
func (w *Writer) Begin(status int, fields []Field) {
	w.writeHeader(status, fields)
	if !w.noChunks {
		w.buf = append(w.buf, "Transfer-Encoding: chunked\r\n"...)
	}
	w.buf = append(w.buf, "\r\n"...)
}

// Write sends a part of the body of a response that Begin started. It returns false if the
// response can't become complete anymore. An empty part is no chunk, as that would end the
// body.
func (w *Writer) Write(part []byte) bool {
	switch {
	case len(part) == 0 || w.noBody:
	case w.noChunks:
		w.buf = append(w.buf, part...)
	default:
		w.buf = strconv.AppendInt(w.buf, int64(len(part)), 16)
		w.buf = append(w.buf, "\r\n"...)
		w.buf = append(w.buf, part...)
		w.buf = append(w.buf, "\r\n"...)
	}
	w.flush()
	return !w.failed
}

// Finish completes a response that Begin started.
func (w *Writer) Finish() {
	if !w.noBody && !w.noChunks {
		w.buf = append(w.buf, "0\r\n\r\n"...)
	}
	w.flush()
	w.complete = !w.failed
}

// Abort leaves the response incomplete, so that the connection is closed.
func (w *Writer) Abort() { w.failed = true }

func (w *Writer) writeHeader(status int, fields []Field) {
	w.started = true
	w.buf = fmt.Appendf(w.buf[:0], "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, f := range fields {
		w.buf = append(w.buf, f.Name...)
		w.buf = append(w.buf, ": "...)
		w.buf = append(w.buf, f.Value...)
		w.buf = append(w.buf, "\r\n"...)
	}
	if w.close {
		w.buf = append(w.buf, "Connection: close\r\n"...)
	}
}

// flush sends the buffered bytes, unless the response has failed.
func (w *Writer) flush() {
	w.send(w.buf)
	w.buf = w.buf[:0]
}

// send sends bytes, unless the response has failed.
func (w *Writer) send(p []byte) {
	if w.failed || len(p) == 0 {
		return
	}
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.conn.Write(p); err != nil {
		w.failed = true
	}
}
