package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// answerWithHead returns a script that sends a response whose header holds further lines, with a body that
// the named framing tells the end of.
func answerWithHead(firstLine, lines, framing string) func(c net.Conn, seen seenRequest) bool {
	return func(c net.Conn, seen seenRequest) bool {
		head := fmt.Sprintf("%s\r\nT-Id: %s\r\n%s", firstLine, seen.Header.Get("T-Id"), signed)
		body := events(1, 2)
		switch framing {
		case "length":
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n%s\r\n%s", head, len(body), lines, body)
		case "chunks":
			_, _ = fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, lines, len(body), body)
		default:
			_, _ = fmt.Fprintf(c, "%s%s\r\n%s", head, lines, body)
		}
		return false
	}
}

// checkFirstLineAndLines checks that responses with a first line and further header lines are forwarded, or
// that the client gets a status of this host, whatever tells the end of the body.
func checkFirstLineAndLines(t *testing.T, firstLine, lines string, sound bool) {
	t.Helper()
	for _, framing := range []string{"length", "chunks", "connection"} {
		checkFramedBy(t, framing, firstLine, lines, sound)
	}
}

// checkFramedBy is like checkFirstLineAndLines for one framing.
func checkFramedBy(t *testing.T, framing, firstLine, lines string, sound bool) {
	t.Helper()
	for _, path := range routesOfEachKind {
		x := newFixtureOfOne(t, func(id string) *standIn {
			return newStandIn(t, id, answerWithHead(firstLine, lines, framing))
		})
		got := x.send(path, key, "prompt")
		switch {
		case sound && (got.err != nil || got.status != http.StatusOK || got.body != events(1, 2)):
			t.Errorf("%s framed by %s: client got %d %q, %v", path, framing, got.status, got.body, got.err)
		case !sound && (got.err != nil || got.status != http.StatusBadGateway || got.header.Get("T-Signed") != ""):
			t.Errorf("%s framed by %s: client got %d %q, %v, want 502", path, framing, got.status, got.body, got.err)
		}
	}
}

func TestAnswerWithAMalformedFieldIsForwarded(t *testing.T) {
	tests := []struct {
		name, lines string
		sound       bool
	}{
		{"blank in a name", "X-A B: v\r\n", false},
		{"blank after a name", "X-A : v\r\n", false},
		{"tab after a name", "X-A\t: v\r\n", false},
		{"blank before a name", " X-A: v\r\n", false},
		{"tab before a name", "\tX-A: v\r\n", false},
		{"line of a blank", " \r\n", false},
		{"length with a blank in its name", "Content -Length: 5\r\n", false},
		{"length with a blank after its name", "Content-Length : 5\r\n", false},
		{"chunks with a blank after their name", "Transfer-Encoding : chunked\r\n", false},
		{"encoding with a blank after its name", "Content-Encoding : gzip\r\n", false},
		{"NUL in a name", "X-\x00A: v\r\n", false},
		{"control byte in a name", "X-\x1fA: v\r\n", false},
		{"DEL in a name", "X-\x7fA: v\r\n", false},
		{"CR in a name", "X-\rA: v\r\n", false},
		{"byte beyond ASCII in a name", "X-\x80A: v\r\n", false},
		{"brackets in a name", "X-(A): v\r\n", false},
		{"no name", ": v\r\n", false},
		{"no colon", "X-A\r\n", false},
		{"NUL in a value", "X-A: v\x00w\r\n", false},
		{"control byte in a value", "X-A: v\x1fw\r\n", false},
		{"DEL in a value", "X-A: v\x7fw\r\n", false},
		{"CR in a value", "X-A: v\rw\r\n", false},
		{"blanks and tabs in a value", "X-A: \tv w\tx \r\n", true},
		{"no value", "X-A:\r\n", true},
		{"byte beyond ASCII in a value", "X-A: \xe4\r\n", true},
		{"colon in a value", "X-A: b:c\r\n", true},
		{"each other character in a name", "X!#$%&'*+-.^_`|~9z: v\r\n", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { checkFirstLineAndLines(t, "HTTP/1.1 200 X", tt.lines, tt.sound) })
	}
}

// An informational response, or one that belongs to another request, may come first.
func TestMalformedFieldBeforeTheAnswerIsSkipped(t *testing.T) {
	for _, first := range []string{"HTTP/1.1 102 X\r\n", "HTTP/1.1 200 X\r\nT-Id: other\r\nContent-Length: 0\r\n"} {
		for lines, want := range map[string]int{"": http.StatusOK, "X-A B: v\r\n": http.StatusBadGateway} {
			for _, path := range routesOfEachKind {
				t.Run(fmt.Sprintf("%.14s %s %s", first, lines, path), func(t *testing.T) {
					x := newFixtureOfOne(t, func(id string) *standIn {
						return newStandIn(t, id, func(c net.Conn, seen seenRequest) bool {
							_, _ = io.WriteString(c, first+lines+"\r\n")
							return answer(c, seen, http.StatusOK, signed, events(1, 2))
						})
					})
					if got := x.send(path, key, "prompt"); got.err != nil || got.status != want {
						t.Errorf("client got %d %q, %v, want %d", got.status, got.body, got.err, want)
					}
				})
			}
		}
	}
}

func TestAnswerWithAMalformedStatusIsForwarded(t *testing.T) {
	for _, status := range []string{"000", "0", "0000", "001", "099", "600", "999", "+20", "2e2", ""} {
		t.Run(status, func(t *testing.T) { checkFirstLineAndLines(t, "HTTP/1.1 "+status+" X", "", false) })
	}
}

func TestAnswerWithAMalformedFirstLineIsForwarded(t *testing.T) {
	tests := []struct {
		name, line string
		sound      bool
	}{
		{"version 9.9", "HTTP/9.9 200 X", false},
		{"version 2.0", "HTTP/2.0 200 X", false},
		{"version 0.9", "HTTP/0.9 200 X", false},
		{"version without a minor one", "HTTP/1. 200 X", false},
		{"version with two digits", "HTTP/1.10 200 X", false},
		{"another protocol", "HTTQ/1.1 200 X", false},
		{"lower case", "http/1.1 200 X", false},
		{"no version", "200 X", false},
		{"blank before it", " HTTP/1.1 200 X", false},
		{"NUL in the reason", "HTTP/1.1 200 X\x00Y", false},
		{"CR in the reason", "HTTP/1.1 200 X\rY", false},
		{"DEL in the reason", "HTTP/1.1 200 X\x7f", false},
		{"version 1.2", "HTTP/1.2 200 X", true},
		{"no reason", "HTTP/1.1 200 ", true},
		{"no reason and no blank", "HTTP/1.1 200", true},
		{"blanks, tabs and bytes beyond ASCII in the reason", "HTTP/1.1 200 A\tB C \xe4", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			checkFirstLineAndLines(t, tt.line, "", tt.sound)
		})
	}
}

// Version 1.0 has no chunks: their sizes would be a part of the body.
func TestAnswerOfVersion10InChunksIsForwarded(t *testing.T) {
	for framing, sound := range map[string]bool{"length": true, "connection": true, "chunks": false} {
		t.Run(framing, func(t *testing.T) { checkFramedBy(t, framing, "HTTP/1.0 200 X", "", sound) })
	}
}
