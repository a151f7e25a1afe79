package forwarder

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// sendWithoutEnd writes a part again and again until the peer closes, and then reports how many
// bytes it has written.
func sendWithoutEnd(c net.Conn, part string, closed chan<- int) bool {
	block := []byte(strings.Repeat(part, 1+4096/len(part)))
	sent := 0
	for {
		n, err := c.Write(block)
		sent += n
		if err != nil {
			closed <- sent
			return false
		}
	}
}

// maxSent is above the largest response that is read and what the kernel buffers of it, with six
// bytes sent for each in a chunk of its own.
const maxSent = 64 << 20

// A backend server in trouble may send bytes that are no response, at full rate, until its peer
// closes the connection.
func TestBytesWithoutEnd(t *testing.T) {
	head := func(seen seenRequest, fields string) string {
		return fmt.Sprintf("HTTP/1.1 200 X\r\nT-Id: %s\r\n%s%s\r\n", seen.Header.Get("T-Id"), signed, fields)
	}
	chunked := "Transfer-Encoding: chunked\r\n"
	chunk := "10000\r\n" + strings.Repeat("a", 0x10000) + "\r\n"
	tests := []struct {
		name  string
		path  string
		begin func(seen seenRequest) string
		part  string
	}{
		{"one header line", "/read/", func(seenRequest) string { return "HTTP/1.1 200 X\r\nA: " }, "a"},
		{"header lines", "/read/", func(seenRequest) string { return "HTTP/1.1 200 X\r\n" }, "A: b\r\n"},
		{"no header at all", "/once/", func(seenRequest) string { return "" }, "\x00\xff"},
		{"informational responses", "/read/", func(seenRequest) string { return "" }, "HTTP/1.1 102 X\r\n\r\n"},
		{"body without length", "/read/", func(s seenRequest) string { return head(s, "") }, "a"},
		{"body in chunks", "/once/", func(s seenRequest) string { return head(s, chunked) }, "1\r\na\r\n"},
		{"trailer", "/read/", func(s seenRequest) string { return head(s, chunked) + "0\r\n" }, "A: b\r\n"},
		{"chunk size", "/read/", func(s seenRequest) string { return head(s, chunked) }, "0"},
		{"chunk extension", "/read/", func(s seenRequest) string { return head(s, chunked) + "1;" }, "a"},
		{"body that is misdirected", "/once/", func(s seenRequest) string {
			return fmt.Sprintf("HTTP/1.1 421 X\r\nT-Id: %s\r\n\r\n", s.Header.Get("T-Id"))
		}, "a"},
		{"body of another response", "/read/", func(seenRequest) string {
			return "HTTP/1.1 200 X\r\nT-Id: other\r\n" + chunked + "\r\n"
		}, chunk},
		{"body that declines", "/stream/", func(s seenRequest) string {
			return fmt.Sprintf("HTTP/1.1 503 X\r\nT-Id: %s\r\nT-Not-Run: 1\r\n\r\n", s.Header.Get("T-Id"))
		}, "a"},
		{"stream without an event", "/stream/", func(s seenRequest) string { return head(s, chunked) }, chunk},
		{"stream of an error", "/stream/", func(s seenRequest) string {
			return fmt.Sprintf("HTTP/1.1 500 X\r\nT-Id: %s\r\n\r\n", s.Header.Get("T-Id"))
		}, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			closed := make(chan int, 10)
			b := newStandIn(t, "e", func(c net.Conn, seen seenRequest) bool {
				if _, err := c.Write([]byte(tt.begin(seen))); err != nil {
					return false
				}
				return sendWithoutEnd(c, tt.part, closed)
			})
			if !strings.HasPrefix(tt.path, "/stream") {
				b.id = "plain"
			}
			x := newFixture(t, b)
			x.place = b.id
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			got := x.send(tt.path, key, "")
			runtime.ReadMemStats(&after)
			if got.err == nil && got.status < http.StatusBadRequest {
				t.Errorf("the client got status %d as if the response were whole", got.status)
			}
			if grown := after.Sys - before.Sys; after.Sys > before.Sys && grown > 64<<20 {
				t.Errorf("memory grew by %d MiB", grown>>20)
			}
			select {
			case sent := <-closed:
				if sent > maxSent {
					t.Errorf("%d MiB were read before the connection was closed", sent>>20)
				}
			case <-time.After(5 * time.Second):
				t.Error("the connection is still open")
			}
		})
	}
}

// A backend server may go on sending after the client has left.
func TestBytesWithoutEndAfterTheClientLeft(t *testing.T) {
	event := "5\r\nid: 1\r\n2\r\n\n\n\r\n"
	for _, path := range []string{"/read/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			begun, closed := make(chan struct{}, 10), make(chan int, 10)
			b := newStandIn(t, "e", func(c net.Conn, seen seenRequest) bool {
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nT-Id: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", seen.Header.Get("T-Id"), signed)
				begun <- struct{}{}
				for sent := 0; ; sent += len(event) {
					if _, err := c.Write([]byte(event)); err != nil {
						closed <- sent
						return false
					}
					time.Sleep(time.Millisecond)
				}
			})
			if path == "/read/" {
				b.id = "plain"
			}
			x := newFixture(t, b)
			x.place = b.id
			c, err := net.Dial("tcp", x.address)
			if err != nil {
				t.Fatal(err)
			}
			_, _ = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nT-Id: id-1\r\n%s\r\n", path, key)
			<-begun
			_ = c.Close()
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Error("the connection is still open 1 s after the client left")
			}
		})
	}
}

// A stream that trickles is neither cut while it is sound, nor kept beyond its deadline if it
// never ends.
func TestSlowStreams(t *testing.T) {
	trickle := func(text string, pause time.Duration, times int) func(net.Conn, seenRequest) bool {
		return func(c net.Conn, seen seenRequest) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 X\r\nT-Id: %s\r\n%sTransfer-Encoding: chunked\r\n\r\n", seen.Header.Get("T-Id"), signed)
			for range times {
				if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
					return false
				}
				time.Sleep(pause)
			}
			_, err := c.Write([]byte("0\r\n\r\n"))
			return err == nil
		}
	}
	t.Run("sound", func(t *testing.T) {
		x := newFixture(t, newStandIn(t, "e", trickle("id: 1\n\n", 300*time.Millisecond, 5)))
		x.place = "e"
		if got := x.send("/stream/", key, ""); got.err != nil || strings.Count(got.body, "id:") != 5 {
			t.Errorf("a slow stream was cut: %v", got)
		}
	})
	t.Run("stalled", func(t *testing.T) {
		x := newFixture(t, newStandIn(t, "e", trickle("x", 50*time.Millisecond, 1000)))
		x.place = "e"
		begun := time.Now()
		got := x.send("/stream/", key, "")
		if took := time.Since(begun); got.err == nil && got.status < http.StatusBadRequest || took > 3*time.Second {
			t.Errorf("a stream without events ended after %s with %v", took, got)
		}
	})
}
