package sequencer

import (
	"fmt"
	"strconv"
	"strings"
)

type (
	// Cursor is a caller's position in a generation, with the agent that holds the
	// generation. Its text form is the id of each server-sent event, so that any
	// entry can find the generation again without shared state.
	Cursor struct {
		// Generation is the generation's ID.
		Generation string
		// Server is the backend server whose agent holds the generation, Incarnation that
		// of the agent and Epoch the number of the attempt. All are zero if unknown.
		Server      string
		Incarnation uint64
		Epoch       uint32
		// Index is the index of the last token that the caller has; -1 before the first.
		Index int64
	}

	// CursorError reports a text that isn't a cursor.
	CursorError struct {
		Text string
	}
)

var _ error = &CursorError{}

// ParseCursor parses the text form of a cursor. It returns a CursorError if text
// isn't one.
func ParseCursor(text string) (Cursor, error) {
	invalid := &CursorError{Text: text}
	id, rest, ok := strings.Cut(text, "@")
	if !ok || id == "" {
		return Cursor{}, invalid
	}
	attempt, index, ok := strings.Cut(rest, ":")
	if !ok {
		return Cursor{}, invalid
	}
	parts := strings.Split(attempt, "/")
	if len(parts) != 3 || parts[0] == "" {
		return Cursor{}, invalid
	}
	incarnation, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return Cursor{}, invalid
	}
	epoch, err := strconv.ParseUint(parts[2], 10, 32)
	if err != nil {
		return Cursor{}, invalid
	}
	i, err := strconv.ParseInt(index, 10, 64)
	if err != nil || i < -1 {
		return Cursor{}, invalid
	}
	return Cursor{Generation: id, Server: parts[0], Incarnation: incarnation, Epoch: uint32(epoch), Index: i}, nil
}

// Error returns a message with the invalid text.
func (e *CursorError) Error() string {
	return fmt.Sprintf("%q is no event id of a generation", e.Text)
}

// AppendPrefix appends the text form without the index to dst.
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

// String returns the text form, generation@server/incarnation/epoch:index.
func (c Cursor) String() string {
	return string(strconv.AppendInt(c.AppendPrefix(nil), c.Index, 10))
}
