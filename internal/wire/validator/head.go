package validator

import (
	"bytes"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// HeadError reports a line of a response's head that the protocol does not allow.
type HeadError struct {
	// Line is the line, without its end and at most maxQuotedBytes long.
	Line string
}

// maxQuotedBytes bounds how much of a line an error quotes.
const maxQuotedBytes = 64

var (
	_ error = &HeadError{}

	lineEnd          = []byte{'\n'}
	carriageReturn   = []byte{'\r'}
	fieldSeparator   = []byte{':'}
	blank            = []byte{' '}
	versionSeparator = []byte{'.'}
	majorVersion     = []byte("HTTP/1")
	oldVersion       = []byte("HTTP/1.0")
	transferEncoding = []byte("Transfer-Encoding")
)

// CheckHead returns a HeadError unless a head begins with a version 1 of the protocol and has no control
// character in its first line, and each further line up to the empty one is a field whose name is a token. A
// length, say, whose name holds a blank is one to some readers only. A line that begins with a blank goes on with
// the value before it in old forms of the protocol, and is refused too, as are chunks in version 1.0, which has
// none. The status is not checked.
func CheckHead(head []byte) error {
	first, lines := cutLine(head)
	if !isFirstLine(first) {
		return newHeadError(first)
	}
	hasChunks := !bytes.HasPrefix(first, oldVersion)
	for len(lines) > 0 {
		var line []byte
		line, lines = cutLine(lines)
		if len(line) == 0 {
			return nil
		}
		name, _, found := bytes.Cut(line, fieldSeparator)
		isField := found && httpguts.ValidHeaderFieldName(string(name))
		if !isField || !hasChunks && bytes.EqualFold(name, transferEncoding) {
			return newHeadError(line)
		}
	}
	return nil
}

func newHeadError(line []byte) *HeadError {
	return &HeadError{Line: string(line[:min(len(line), maxQuotedBytes)])}
}

// Error returns a message with the line.
func (e *HeadError) Error() string {
	return fmt.Sprintf("response has a malformed header line %q", e.Line)
}

// cutLine returns the line that b begins with, without its end, and what follows it.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, lineEnd)
	return bytes.TrimSuffix(line, carriageReturn), rest
}

// isFirstLine reports whether a line begins with a version 1 of the protocol and has no control character.
func isFirstLine(line []byte) bool {
	version, status, _ := bytes.Cut(line, blank)
	major, minor, found := bytes.Cut(version, versionSeparator)
	isVersion := found && bytes.Equal(major, majorVersion) && len(minor) == 1 && minor[0] >= '0' && minor[0] <= '9'
	return isVersion && httpguts.ValidHeaderFieldValue(string(status))
}
