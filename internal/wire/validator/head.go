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

	lineEnd        = []byte{'\n'}
	carriageReturn = []byte{'\r'}
	fieldSeparator = []byte{':'}
)

// CheckHead returns a HeadError unless each line of a head after its first is a field whose name is a token, up
// to the empty line. A length, say, whose name holds a blank is one to some readers only. A line that begins
// with a blank goes on with the value before it in old forms of the protocol, and is refused too.
func CheckHead(head []byte) error {
	_, lines, _ := bytes.Cut(head, lineEnd)
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, lineEnd)
		line = bytes.TrimSuffix(line, carriageReturn)
		if len(line) == 0 {
			return nil
		}
		name, _, found := bytes.Cut(line, fieldSeparator)
		if !found || !httpguts.ValidHeaderFieldName(string(name)) {
			return &HeadError{Line: string(line[:min(len(line), maxQuotedBytes)])}
		}
	}
	return nil
}

// Error returns a message with the line.
func (e *HeadError) Error() string {
	return fmt.Sprintf("response has a malformed header line %q", e.Line)
}
