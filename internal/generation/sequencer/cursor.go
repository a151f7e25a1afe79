package sequencer

import (
	"fmt"
	"strconv"
	"strings"
)

type (
	// Cursor says where a caller is in a generation and which agent holds it. Its
	// text form is the id of each server-sent event, so that any entry finds the
	// generation again without shared state.
	Cursor struct {
		Generation  string
		Server      string
		Incarnation uint64
		Epoch       uint32
		// Index is that of the last token the caller has; -1 before the first.
		Index int64
	}

	// CursorError reports a text that is no cursor.
	CursorError struct {
		Text string
	}
)

var _ error = &CursorError{}

// ParseCursor reads the text form of a cursor.
func ParseCursor(text string) (Cursor, error) {
	bad := &CursorError{Text: text}
	id, rest, ok := strings.Cut(text, "@")
	if !ok || id == "" {
		return Cursor{}, bad
	}
	place, index, ok := strings.Cut(rest, ":")
	if !ok {
		return Cursor{}, bad
	}
	parts := strings.Split(place, "/")
	if len(parts) != 3 || parts[0] == "" {
		return Cursor{}, bad
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return Cursor{}, bad
	}
	epoch, err := strconv.ParseUint(parts[2], 10, 32)
	if err != nil {
		return Cursor{}, bad
	}
	i, err := strconv.ParseInt(index, 10, 64)
	if err != nil || i < -1 {
		return Cursor{}, bad
	}
	return Cursor{Generation: id, Server: parts[0], Incarnation: incarnation, Epoch: uint32(epoch), Index: i}, nil
}

// Error names the bad text.
func (e *CursorError) Error() string {
	return fmt.Sprintf("%q is no event id of a generation", e.Text)
}

// AppendPrefix appends all of the text form but the index.
func (c Cursor) AppendPrefix(dst []byte) []byte {
	dst = append(dst, c.Generation...)
	dst = append(dst, '@')
	dst = append(dst, c.Server...)
	dst = append(dst, '/')
	dst = strconv.AppendUint(dst, c.Incarnation, 10)
	dst = append(dst, '/')
	dst = strconv.AppendUint(dst, uint64(c.Epoch), 10)
	return append(dst, ':')
}

// String returns the text form.
func (c Cursor) String() string {
	return string(strconv.AppendInt(c.AppendPrefix(nil), c.Index, 10))
}
