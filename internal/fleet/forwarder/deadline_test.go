package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// untilDeadline begins a response without length or chunks, and ends it by closing the connection when the
// time is up that the request names.
func untilDeadline(c net.Conn, seen seenRequest) bool {
	begun := time.Now()
	left, _ := strconv.Atoi(seen.Header.Get("T-Left"))
	beginUntilClose(c, seen)
	_, _ = io.WriteString(c, events(1, 3))
	time.Sleep(time.Until(begun.Add(time.Duration(left) * time.Millisecond)))
	return false
}

func TestStreamThatItsDeadlineEndedIsComplete(t *testing.T) {
	for range 5 {
		x := newFixture(t, newStandIn(t, "e1", untilDeadline))
		x.place = "e1"
		if got := x.send("/stream/a", key+"T-Left: 200.9\r\n", "prompt"); got.err == nil {
			t.Errorf("client got %q as a complete response", got.body)
		}
	}
}

func TestAnswerThatItsDeadlineEndedIsComplete(t *testing.T) {
	for _, path := range []string{"/read/a", "/once/a"} {
		for i := range 5 {
			t.Run(fmt.Sprint(path, i), func(t *testing.T) {
				x := newFixture(t, newStandIn(t, "s", untilDeadline))
				if got := x.send(path, key+"T-Left: 200.9\r\n", "prompt"); got.status != http.StatusGatewayTimeout {
					t.Errorf("client got %d %q, want 504", got.status, got.body)
				}
			})
		}
	}
}
