package validator

import (
	"errors"
	"strings"
	"testing"
)

func TestLineThatIsNoFieldIsTakenForOne(t *testing.T) {
	tests := []struct {
		name, lines string
		// line is the one that the error quotes; empty for a head without fault.
		line string
	}{
		{"fields", "A: b\r\nC:\r\nD:\te\tf \r\n\r\n", ""},
		{"no field", "\r\n", ""},
		{"lines that end without CR", "A: b\n\n", ""},
		{"what follows the head", "A: b\r\n\r\nno field", ""},
		{"blank in a name", "A: b\r\nC d: e\r\n\r\n", "C d: e"},
		{"blank after a name", "A : b\r\n\r\n", "A : b"},
		{"folded value", "A: b\r\n c\r\n\r\n", " c"},
		{"field that begins with a tab", "A: b\r\n\tC: d\r\n\r\n", "\tC: d"},
		{"no name", ": b\r\n\r\n", ": b"},
		{"no colon", "A\r\n\r\n", "A"},
		{"control character in a name", "A\x00: b\r\n\r\n", "A\x00: b"},
		{"long line", strings.Repeat("a", 1000) + "\r\n\r\n", strings.Repeat("a", maxQuotedBytes)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			err, line := CheckHead([]byte("HTTP/1.1 200 X\r\n"+tt.lines)), ""
			if malformed := new(HeadError); errors.As(err, &malformed) {
				line = malformed.Line
			}
			if line != tt.line || (err == nil) != (tt.line == "") {
				t.Errorf("got %v, want %q", err, tt.line)
			}
		})
	}
}
