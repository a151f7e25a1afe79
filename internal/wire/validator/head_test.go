package validator

import (
	"errors"
	"slices"
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
			checkMalformed(t, "HTTP/1.1 200 X\r\n"+tt.lines, tt.line)
		})
	}
}

func TestFirstLineOfAnotherProtocolIsTaken(t *testing.T) {
	for line, sound := range map[string]bool{
		"HTTP/1.1 200 X": true, "HTTP/1.0 200 X": true, "HTTP/1.1 200": true, "HTTP/1.1 200 A\tb \xe4": true,
		"HTTP/2.0 200 X": false, "HTTP/0.9 200 X": false, "HTTP/1.10 200 X": false, "HTTP/1 200 X": false, "HTTP/1.x 200 X": false,
		"http/1.1 200 X": false, "200 X": false, "HTTP/1.1 200 X\x00": false, "HTTP/1.1 200 X\rY": false,
	} {
		t.Run(line, func(t *testing.T) {
			want := line
			if sound {
				want = ""
			}
			checkMalformed(t, line+"\r\nA: b\r\n\r\n", want)
		})
	}
}

func TestChunksOfAnOldVersionAreTaken(t *testing.T) {
	const encoding = "transfer-encoding: chunked"
	checkMalformed(t, "HTTP/1.0 200 X\r\n"+encoding+"\r\n\r\n", encoding)
	checkMalformed(t, "HTTP/1.1 200 X\r\n"+encoding+"\r\n\r\n", "")
}

// checkMalformed checks that a head's first line that is not in the protocol is the given one; empty for none. The
// head arrives at once and byte by byte.
func checkMalformed(t *testing.T, head, want string) {
	t.Helper()
	for _, size := range []int{len(head), 1} {
		h := new(HeadChecker)
		for part := range slices.Chunk([]byte(head), size) {
			h.Check(part)
		}
		line := ""
		if malformed := new(HeadError); errors.As(h.Err(), &malformed) {
			line = malformed.Line
		}
		if line != want || h.Ended() != (want == "") {
			t.Errorf("in parts of %d bytes: got %v, want %q", size, h.Err(), want)
		}
	}
}
