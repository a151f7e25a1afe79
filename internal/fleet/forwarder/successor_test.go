package forwarder

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"verbenareach/internal/wire/messenger"
)

// The client sends the request again under its id, and it comes to the same engine.
func TestMoveOfAGenerationStopsTheOneThatFollowsIt(t *testing.T) {
	for _, framed := range []bool{false, true} {
		t.Run(fmt.Sprintf("framed %t", framed), func(t *testing.T) {
			var x *fixture
			copying, following := make(chan struct{}), make(chan struct{})
			stopped := make(chan struct{})
			follow := sync.OnceFunc(func() { close(following) })
			e1 := newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
				switch {
				case seen.Method == http.MethodDelete:
					return answer(c, seen, http.StatusOK, "", "")
				case seen.URL.Path == "/copy" && seen.URL.Query().Get("stop") != "true":
					close(copying)
					<-following
					return answer(c, seen, http.StatusOK, "", `{"ID":"partial"}`)
				case seen.URL.Path == "/copy":
					close(stopped)
					return answer(c, seen, http.StatusOK, "", `{"ID":"handle"}`)
				}
				send := func(text string) { _, _ = io.WriteString(c, text) }
				if framed {
					begin(c, seen)
					send = func(text string) { chunk(c, text) }
				} else {
					beginUntilClose(c, seen)
				}
				if seen.Header.Get("T-Last") == "" {
					send(events(1, 3))
					x.awaitEvents("id-1", 3)
					_ = x.forwarder.Move(&messenger.MoveOrder{Run: "id-1", From: "e1", To: "e2"})
					_, _ = c.Read(make([]byte, 1))
					return false
				}
				send(events(4, 5))
				follow()
				select {
				case <-stopped:
					// The run is stopped: its response ends without its last events.
				case <-time.After(500 * time.Millisecond):
					send(events(6, 8))
					if framed {
						end(c)
					}
				}
				return false
			})
			x = newFixture(t, e1, newStandIn(t, "e2", streams(6, 8)))
			x.place = "e1"
			go func() { x.send("/resume/a", key, "prompt") }()
			<-copying
			got := x.send("/resume/a", key+"T-Last: 3\r\n", "prompt")
			if got.err != nil || got.body != events(4, 8) {
				t.Errorf("client got %q, %v, want events 4 to 8", got.body, got.err)
			}
			select {
			case <-stopped:
				t.Error("the run that follows was told to stop")
			default:
			}
		})
	}
}

// The engine carries the order out only once the run that follows has begun.
func TestOrderToStopAFormerRunEndsAStreamAsComplete(t *testing.T) {
	for _, framed := range []bool{false, true} {
		t.Run(fmt.Sprintf("framed %t", framed), func(t *testing.T) {
			var x *fixture
			copying, following := make(chan struct{}), make(chan struct{})
			stopped := make(chan struct{})
			follow := sync.OnceFunc(func() { close(following) })
			e1 := newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
				switch {
				case seen.Method == http.MethodDelete:
					return answer(c, seen, http.StatusOK, "", "")
				case seen.URL.Path == "/copy" && seen.URL.Query().Get("stop") != "true":
					return answer(c, seen, http.StatusOK, "", `{"ID":"partial"}`)
				case seen.URL.Path == "/copy":
					close(copying)
					<-following
					close(stopped)
					return answer(c, seen, http.StatusOK, "", `{"ID":"handle"}`)
				}
				send := func(text string) { _, _ = io.WriteString(c, text) }
				if framed {
					begin(c, seen)
					send = func(text string) { chunk(c, text) }
				} else {
					beginUntilClose(c, seen)
				}
				if seen.Header.Get("T-Last") == "" {
					send(events(1, 3))
					x.awaitEvents("id-1", 3)
					_ = x.forwarder.Move(&messenger.MoveOrder{Run: "id-1", From: "e1", To: "e2"})
					_, _ = c.Read(make([]byte, 1))
					return false
				}
				send(events(4, 5))
				follow()
				select {
				case <-stopped:
					// The run is stopped: its response ends without its last events.
				case <-time.After(500 * time.Millisecond):
					send(events(6, 8))
					if framed {
						end(c)
					}
				}
				return false
			})
			x = newFixture(t, e1, newStandIn(t, "e2", streams(6, 8)))
			x.place = "e1"
			go func() { x.send("/resume/a", key, "prompt") }()
			<-copying
			got := x.send("/resume/a", key+"T-Last: 3\r\n", "prompt")
			if got.err == nil && got.body != events(4, 8) {
				t.Errorf("client got %q as a complete response", got.body)
			}
		})
	}
}
