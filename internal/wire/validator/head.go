package validator

import (
	"bytes"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

type (
	// HeadChecker checks the head of a response while it is read, and keeps nothing of it but the beginning of a
	// line. The zero value expects the first line.
	//
	// A head must begin with a version 1 of the protocol and have no control character in its first line. Each
	// further line up to the empty one must be a field whose name is a token. A length, say, whose name holds a
	// blank is one to some readers only. A line that begins with a blank goes on with the value before it in old
	// forms of the protocol, and is refused too, as are chunks in version 1.0, which has none. The status and the
	// values are not checked.
	HeadChecker struct {
		// line is the present line, hasFirst is set once it is not the first one.
		line     headLine
		hasFirst bool
		// hasNoChunks is set if the version has none, isInformational if the status is one of 1xx.
		hasNoChunks, isInformational bool
		// ended is set once the empty line was read.
		ended bool
		err   error
	}

	// headLine is what is known of a line of a head that is being read.
	headLine struct {
		// begin holds its first bytes, length counts all but those of its end.
		begin  [maxQuotedBytes]byte
		length int
		// hasCR is set if the newest byte is a carriage return: the line may end with it.
		hasCR bool
		// hasName is set once a colon was read, nameLength is the number of bytes before it.
		hasName    bool
		nameLength int
		// hasOther is set if the name holds another byte than a token may, hasControl if the line holds a control
		// character.
		hasOther, hasControl bool
	}

	// HeadError reports a line of a head that is not in the protocol.
	HeadError struct {
		// Line is the line, without its end and at most maxQuotedBytes long.
		Line string
	}
)

const (
	// maxQuotedBytes bounds how much of a line an error quotes.
	maxQuotedBytes = 64
	// versionBytes is the length of a version, informational how the status of an informational response begins.
	versionBytes  = len("HTTP/1.1")
	informational = '1'
)

var (
	_ error = &HeadError{}

	versionBegin     = []byte("HTTP/1.")
	transferEncoding = []byte("Transfer-Encoding")
)

// Check checks the next bytes and returns those that follow the end of the head, or a malformed line.
func (h *HeadChecker) Check(p []byte) (rest []byte) {
	for i, b := range p {
		if h.ended || h.err != nil {
			return p[i:]
		}
		if b == '\n' {
			h.endLine()
			continue
		}
		h.line.add(b)
	}
	return nil
}

// Ended reports whether the whole head was checked.
func (h *HeadChecker) Ended() bool { return h.ended }

// Err returns a HeadError once a line is not in the protocol.
func (h *HeadChecker) Err() error { return h.err }

// IsInformational reports whether the head is that of an informational (1xx) response, which another one follows.
func (h *HeadChecker) IsInformational() bool { return h.isInformational }

// endLine checks the present line, which is whole.
func (h *HeadChecker) endLine() {
	line := h.line
	h.line = headLine{}
	switch {
	case !h.hasFirst:
		h.hasFirst = true
		h.checkFirst(line)
	case line.length == 0:
		h.ended = true
	case !line.isField() || h.hasNoChunks && bytes.EqualFold(line.name(), transferEncoding):
		h.err = line.malformed()
	}
}

// checkFirst checks the first line.
func (h *HeadChecker) checkFirst(line headLine) {
	begin := line.quoted()
	version, status, _ := bytes.Cut(begin, []byte{' '})
	if !isVersion(version) || line.hasControl {
		h.err = line.malformed()
		return
	}
	h.hasNoChunks = version[versionBytes-1] == '0'
	h.isInformational = len(status) > 0 && status[0] == informational
}

// isVersion reports whether b is a version 1 of the protocol.
func isVersion(b []byte) bool {
	return len(b) == versionBytes && bytes.HasPrefix(b, versionBegin) && b[versionBytes-1] >= '0' && b[versionBytes-1] <= '9'
}

// add adds the next byte, which does not end the line.
func (l *headLine) add(b byte) {
	if l.hasCR {
		l.put('\r')
	}
	l.hasCR = b == '\r'
	if !l.hasCR {
		l.put(b)
	}
}

// isField reports whether the line is a field whose name is a token.
func (l *headLine) isField() bool { return l.hasName && l.nameLength > 0 && !l.hasOther }

func (l *headLine) malformed() *HeadError { return &HeadError{Line: string(l.quoted())} }

// name returns the name of the field, or as much of it as is kept.
func (l *headLine) name() []byte { return l.begin[:min(l.nameLength, len(l.begin))] }

// put adds a byte that is not a part of the line's end.
func (l *headLine) put(b byte) {
	if l.length < len(l.begin) {
		l.begin[l.length] = b
	}
	switch {
	case l.hasName:
	case b == ':':
		l.hasName, l.nameLength = true, l.length
	case !httpguts.IsTokenRune(rune(b)):
		l.hasOther = true
	}
	l.hasControl = l.hasControl || b < ' ' && b != '\t' || b == 0x7f
	l.length++
}

// quoted returns the beginning of the line.
func (l *headLine) quoted() []byte { return l.begin[:min(l.length, len(l.begin))] }

// Error returns a message with the line.
func (e *HeadError) Error() string {
	return fmt.Sprintf("response has a malformed header line %q", e.Line)
}
