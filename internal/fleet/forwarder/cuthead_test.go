package forwarder

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// TestAnswerThatEndsWithinItsHeadLooksWhole cuts the head of an answer at each byte.
func TestAnswerThatEndsWithinItsHeadLooksWhole(t *testing.T) {
	for _, framing := range []string{"Content-Length: 50\r\n", "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"} {
		for _, path := range []string{"/once/a", "/plain-stream/a"} {
			t.Run(fmt.Sprintf("%s %.14s", path, framing), func(t *testing.T) {
				head := "HTTP/1.1 200 OK\r\nT-Id: id-1\r\n" + signed + framing + "\r\n"
				x := newFixture(t)
				for cut := range len(head) {
					// A server that lost an answer is avoided for a while, so each cut gets one of its own.
					x.join(newStandIn(t, fmt.Sprintf("s%d", cut), func(c net.Conn, _ seenRequest) bool {
						_, _ = fmt.Fprint(c, head[:cut])
						return false
					}))
					if got := x.send(path, key, ""); got.status != http.StatusBadGateway {
						t.Fatalf("head cut after %d bytes: answered with %d %q", cut, got.status, got.body)
					}
				}
			})
		}
	}
}
