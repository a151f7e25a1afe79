package forwarder

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// The system closes the connections of a process that ends, as the process does at the end of a response.
func TestStreamOfAnEngineWhoseProcessEndedIsComplete(t *testing.T) {
	for path, whole := range map[string]int{"/stream/a": 0, "/resume/a": 8} {
		t.Run(path, func(t *testing.T) {
			var e1 *standIn
			e1 = newStandIn(t, "e1", func(c net.Conn, seen seenRequest) bool {
				beginUntilClose(c, seen)
				_, _ = io.WriteString(c, events(1, 3))
				time.Sleep(50 * time.Millisecond)
				_ = e1.listener.Close()
				return false
			})
			x := newFixture(t, e1, newStandIn(t, "e2", streams(4, 8)))
			x.placeInOrder("e1", "e2")
			got := x.send(path, key, "prompt")
			if whole == 0 && got.err == nil || whole > 0 && (got.err != nil || got.body != events(1, whole)) {
				t.Errorf("client got %q, %v", got.body, got.err)
			}
		})
	}
}

func TestAnswerOfAServerWhoseProcessEndedIsComplete(t *testing.T) {
	for path, want := range map[string]int{"/once/a": http.StatusBadGateway, "/read/a": http.StatusOK} {
		t.Run(path, func(t *testing.T) {
			var bad *standIn
			bad = newStandIn(t, "bad", func(c net.Conn, seen seenRequest) bool {
				beginUntilClose(c, seen)
				_, _ = io.WriteString(c, "who")
				time.Sleep(50 * time.Millisecond)
				_ = bad.listener.Close()
				return false
			})
			x := newFixture(t, bad)
			x.occupy("good")
			x.occupy("good")
			x.join(newStandIn(t, "good", answerOK))
			got := x.send(path, key, "prompt")
			if got.status != want || got.status == http.StatusOK && got.body != "whole" {
				t.Errorf("client got %d %q, %v, want %d", got.status, got.body, got.err, want)
			}
		})
	}
}
