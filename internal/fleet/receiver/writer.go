package receiver

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Writer sends one answer. An answer that was started and not finished leaves the
// connection broken, so that it never looks complete.
type Writer struct {
	conn *conn
	// close is set when the connection ends with this answer.
	close bool
	// head is set when the request asks for no body.
	head bool
	// started is set once a byte of the answer may have left, done once it is whole,
	// broken once it cannot become whole.
	started, done, broken bool
	buf                   []byte
}

// Started tells whether the answer has begun.
func (w *Writer) Started() bool { return w.started }

// Reply sends a whole answer.
func (w *Writer) Reply(status int, fields []Field, body []byte) {
	w.begin(status, fields)
	w.buf = append(w.buf, "Content-Length: "...)
	w.buf = strconv.AppendInt(w.buf, int64(len(body)), 10)
	w.buf = append(w.buf, "\r\n\r\n"...)
	if !w.head {
		w.buf = append(w.buf, body...)
	}
	w.flush()
	w.done = !w.broken
}

// Begin sends the head of an answer whose length is not known.
func (w *Writer) Begin(status int, fields []Field) {
	w.begin(status, fields)
	w.buf = append(w.buf, "Transfer-Encoding: chunked\r\n\r\n"...)
}

// Write sends a part of the answer that Begin began, and tells whether the client takes it.
func (w *Writer) Write(part []byte) bool {
	if len(part) > 0 {
		w.buf = strconv.AppendInt(w.buf, int64(len(part)), 16)
		w.buf = append(w.buf, "\r\n"...)
		w.buf = append(w.buf, part...)
		w.buf = append(w.buf, "\r\n"...)
	}
	w.flush()
	return !w.broken
}

// Finish ends the answer that Begin began as complete.
func (w *Writer) Finish() {
	w.buf = append(w.buf, "0\r\n\r\n"...)
	w.flush()
	w.done = !w.broken
}

// Abort leaves the answer incomplete: the connection is closed.
func (w *Writer) Abort() { w.broken = true }

func (w *Writer) begin(status int, fields []Field) {
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

func (w *Writer) flush() {
	if w.broken || len(w.buf) == 0 {
		return
	}
	_ = w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := w.conn.Write(w.buf); err != nil {
		w.broken = true
	}
	w.buf = w.buf[:0]
}
